//! Prints the reference page of the settings, `docs/operate/settings.md`.

fn main() {
    print!("{}", ibisdale_settings::render_reference());
}
