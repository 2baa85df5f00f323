"""Entry point of the command line, run by `python -m berylspool`."""

from berylspool.tool.cli import main

if __name__ == "__main__":
    main()
