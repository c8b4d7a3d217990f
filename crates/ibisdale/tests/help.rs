//! Help texts.

mod support;

use rstest::rstest;
use support::{ibisdale, transcript};

#[test]
fn main_help() {
    insta::assert_snapshot!(transcript(&ibisdale(&["--help"])), @r##"
    exit 0
    Operates an ibisdale fleet and runs programs on it

    Usage: ibisdale [OPTIONS] <COMMAND>

    Commands:
      check        Checks a settings file whole and lists all findings; needs no daemon
      diff         Lists what a settings file would change
      apply        Applies a settings file; returns once it is accepted
      show         Shows each value that holds, and where it comes from
      history      Lists the revisions that are kept
      rollback     Applies an earlier revision anew, as a new revision
      workspace    Shows workspaces
      key          Grants, withdraws and lists keys
      program      Shows and cancels running programs
      status       Shows a daemon and the members it knows
      drain        Starts a daemon's graceful shutdown
      run          Runs a program that is described in a JSON file, and shows its progress
      demo         Runs a program on a daemon and stand-ins within this process; needs nothing
                   else
      completions  Writes completions for a shell to standard output
      help         Print this message or the help of the given subcommand(s)

    Options:
          --format <FORMAT>           How results and errors are written [default: text]
                                      [possible values: text, json]
          --operator <ADDRESS>        Operators' address of any daemon [default:
                                      127.0.0.1:7301]
          --operator-key-file <FILE>  File that holds the operators' key
      -h, --help                      Print help
      -V, --version                   Print version

    Exit codes and the operators' key are described in docs/operate/command.md.
    --- errors
    "##);
}

#[test]
fn apply_help() {
    insta::assert_snapshot!(transcript(&ibisdale(&["apply", "--help"])), @r##"
    exit 0
    Applies a settings file; returns once it is accepted

    Usage: ibisdale apply [OPTIONS] <FILE>

    Arguments:
      <FILE>  The settings file

    Options:
          --expect <REVISION>         Revision that the file was made from [default: the
                                      revision in force]
          --format <FORMAT>           How results and errors are written [default: text]
                                      [possible values: text, json]
          --note <TEXT>               What the history says about the revision
          --operator <ADDRESS>        Operators' address of any daemon [default:
                                      127.0.0.1:7301]
          --author <NAME>             Who the history says applied the revision [default:
                                      operator]
          --operator-key-file <FILE>  File that holds the operators' key
      -h, --help                      Print help
    --- errors
    "##);
}

#[test]
fn run_help() {
    insta::assert_snapshot!(transcript(&ibisdale(&["run", "--help"])), @r##"
    exit 0
    Runs a program that is described in a JSON file, and shows its progress

    Usage: ibisdale run [OPTIONS] --key-file <FILE> <PROGRAM-FILE>

    Arguments:
      <PROGRAM-FILE>  The program's steps, in JSON

    Options:
          --entry <ADDRESS>           Callers' address of any daemon [default: 127.0.0.1:7101]
          --format <FORMAT>           How results and errors are written [default: text]
                                      [possible values: text, json]
          --key-file <FILE>           File that holds the workspace's key
          --operator <ADDRESS>        Operators' address of any daemon [default:
                                      127.0.0.1:7301]
          --operator-key-file <FILE>  File that holds the operators' key
      -h, --help                      Print help
    --- errors
    "##);
}

#[rstest]
#[case(&["check"])]
#[case(&["diff"])]
#[case(&["show"])]
#[case(&["history"])]
#[case(&["rollback"])]
#[case(&["workspace", "list"])]
#[case(&["workspace", "show"])]
#[case(&["key", "grant"])]
#[case(&["key", "withdraw"])]
#[case(&["key", "list"])]
#[case(&["key", "new"])]
#[case(&["program", "list"])]
#[case(&["program", "show"])]
#[case(&["program", "cancel"])]
#[case(&["status"])]
#[case(&["drain"])]
#[case(&["completions"])]
fn every_command_has_help(#[case] command: &[&str]) {
    let mut args = command.to_vec();
    args.push("--help");
    let text = transcript(&ibisdale(&args));
    assert!(text.starts_with("exit 0\n"), "{text}");
    assert!(text.contains("Usage: ibisdale "), "{text}");
}

#[rstest]
#[case("bash")]
#[case("zsh")]
#[case("fish")]
#[case("powershell")]
#[case("elvish")]
fn completions_name_the_commands(#[case] shell: &str) {
    let text = transcript(&ibisdale(&["completions", shell]));
    assert!(text.starts_with("exit 0\n"), "{text}");
    assert!(text.contains("withdraw"), "{text}");
}

#[rstest]
#[case(&[])]
#[case(&["nonsense"])]
#[case(&["status", "--operator", "localhost"])]
#[case(&["program", "show", "12"])]
#[case(&["key", "grant", "two words", "app", "--operator-key-file", "x"])]
#[case(&["status"])]
fn wrong_usage_exits_with_2(#[case] args: &[&str]) {
    assert_eq!(ibisdale(args).status.code(), Some(2));
}
