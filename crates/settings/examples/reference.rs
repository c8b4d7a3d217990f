//! Prints the settings reference page, `docs/operate/settings.md`.

fn main() {
    print!("{}", ibisdale_settings::render_reference());
}
