"""Entry point of ``python -m cardamomtiller``."""

from cardamomtiller.cli import app

if __name__ == '__main__':
    app(prog_name='cardamomtiller')
