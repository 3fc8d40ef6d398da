"""Command line: a thin layer over plain functions."""

from importlib import metadata

import typer

app = typer.Typer(no_args_is_help=True, help='Layer-4 load balancer.')


@app.callback()
def main() -> None:
    """Layer-4 load balancer whose instances keep no durable state."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(metadata.version('cardamomtiller'))
