"""Runs the command line as `python -m bitternturn`."""

from bitternturn.cli.main import run

if __name__ == '__main__':
    run()
