"""Run the command line with `python -m berylspool`."""

from berylspool.tool.cli import main

if __name__ == "__main__":
    main()
