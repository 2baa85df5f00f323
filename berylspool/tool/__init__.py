"""Programs for people: command line, operators, stand-in, load, logs."""
