"""Entry point of `python -m bitternturn`."""

from bitternturn.cli.main import run

if __name__ == '__main__':
    run()
