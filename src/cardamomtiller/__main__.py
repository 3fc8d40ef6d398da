"""Start the command line with ``python -m cardamomtiller``."""

from cardamomtiller.cli import app

if __name__ == '__main__':
    app(prog_name='cardamomtiller')
