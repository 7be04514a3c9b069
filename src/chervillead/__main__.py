"""Runs the command line as `python -m chervillead`."""

from chervillead import command_line

if __name__ == "__main__":
    command_line.main()
