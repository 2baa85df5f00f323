"""Run the command line with `python -m berylspool`."""

from berylspool.process.cli import main

if __name__ == "__main__":
    main()
