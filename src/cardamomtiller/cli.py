"""Command line: a thin layer over plain functions."""

import asyncio
import json
from collections.abc import Callable, Mapping
from importlib import metadata
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
from returns.result import Failure
from typer.completion import get_completion_inspect_parameters
from typer.core import TyperCommand, TyperGroup

from cardamomtiller import check, log, status
from cardamomtiller.cookie import Explanation, explain_cookie
from cardamomtiller.document import KeyRow
from cardamomtiller.identity import Endpoint, parse_endpoint
from cardamomtiller.settings import load_settings

EXIT_FAILURE = 1
EXIT_FINDINGS = 2


class _PlainConversion:
    """Conversion that typer calls for each parameter."""

    def coerce(self, value: Any, param: Any, ctx: Any) -> Any:
        """
        Convert the text of an option.

        Raises
        ------
        typer.BadParameter
            If the text is not of the option's type.
        """
        kind = param.type_descriptor.annotation
        if value is None:
            return () if param.multiple else None
        if param.multiple:
            return list(value)
        if kind not in {int, float} or isinstance(value, kind):
            return value
        try:
            return kind(value)
        except ValueError as error:
            message = f'{value!r} is not a number'
            raise typer.BadParameter(message, ctx=ctx, param=param) from error


def _set_conversion(parameters: list[Any]) -> list[Any]:
    # typer has no public way to choose the conversion.
    for parameter in parameters:
        vars(parameter)['_runtime_param'] = _PlainConversion()
    return parameters


class PlainCommand(TyperCommand):
    """
    Command whose parameters are converted without pydantic.

    typer converts values with pydantic, whose core is an extension module and
    cannot be loaded from the one-file binary.
    """

    def get_params(self, ctx: Any) -> list[Any]:
        """Return the parameters, each with the plain conversion."""
        return _set_conversion(super().get_params(ctx))


class PlainGroup(TyperGroup):
    """Group of such commands."""

    def __init__(self, *args: Any, **options: Any) -> None:
        """Register the shells that completion supports."""
        super().__init__(*args, **options)
        get_completion_inspect_parameters()

    def get_params(self, ctx: Any) -> list[Any]:
        """Return the parameters, each with the plain conversion."""
        return _set_conversion(super().get_params(ctx))


# typer's own completion options write to the start-up files of the shell.
app = typer.Typer(
    cls=PlainGroup,
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    help='Layer-4 load balancer whose instances keep no durable state.',
)


def _command(name: str, example: str) -> Callable[[Any], Any]:
    return app.command(
        name,
        cls=PlainCommand,
        no_args_is_help=False,
        epilog=f'Example: cardamomtiller {name} {example}'.rstrip(),
    )


SettingsOption = Annotated[
    str, typer.Option('--settings', help='Settings file of the instance (INI).')
]
ListsOption = Annotated[
    str, typer.Option('--lists', help='Folder with the published lists, NAME.ini.')
]
AddressOption = Annotated[
    str, typer.Option('--address', help='Status address of an instance, HOST:PORT.')
]


@app.callback()
def main() -> None:
    """Layer-4 load balancer whose instances keep no durable state."""


@_command('version', '')
def version() -> None:
    """Print the version."""
    typer.echo(metadata.version('cardamomtiller'))


@_command('run', '--settings instance.ini')
def run(settings: SettingsOption) -> None:
    """Run an instance until SIGTERM or SIGINT, then stop gracefully."""
    loaded = load_settings(Path(settings))
    if isinstance(loaded, Failure):
        _report_findings(loaded.failure())
    # Imported here, so that the other commands start without the data path.
    from cardamomtiller.instance import run_instance

    raise typer.Exit(run_instance(loaded.unwrap()))


@_command('check', '--settings instance.ini --lists lists')
def check_command(
    settings: Annotated[
        str, typer.Option('--settings', help='Settings file of an instance (INI).')
    ] = '',
    lists: Annotated[
        str, typer.Option('--lists', help='Folder with the published lists, NAME.ini.')
    ] = '',
) -> None:
    """Check settings and published lists; exit with 2 on findings."""
    if not settings and not lists:
        raise typer.BadParameter('give --settings, --lists or both')
    findings = check.check_files(
        Path(settings) if settings else None,
        Path(lists) if lists else None,
    )
    if findings:
        _report_findings(findings)
    typer.echo('no findings')


@_command('cookie', 'HEX --flow HEX --lists lists')
def cookie_command(
    sealed: Annotated[str, typer.Argument(help='Sealed cookie, hex digits.')],
    flow: Annotated[str, typer.Option('--flow', help='Flow id, 32 hex digits.')],
    lists: ListsOption,
) -> None:
    """Explain a cookie: key id, whether it is valid, and each field."""
    keys = check.read_lists(Path(lists)).catalog.keys
    explained = _explain(sealed, flow, keys)
    typer.echo('\n'.join(explained.lines()))
    if not explained.is_valid:
        raise typer.Exit(EXIT_FAILURE)


def _explain(sealed: str, flow: str, keys: Mapping[int, KeyRow]) -> Explanation:
    try:
        return explain_cookie(bytes.fromhex(sealed), bytes.fromhex(flow), keys)
    except ValueError as error:
        raise typer.BadParameter(f'not hex digits: {error}') from error


@_command('status', '--address 127.0.0.1:9402')
def show_status(address: AddressOption) -> None:
    """Print the status of a running instance as JSON."""
    _print_path(address, status.STATUS_PATH)


@_command('flows', '--address 127.0.0.1:9402')
def show_flows(address: AddressOption) -> None:
    """Print the open flows of a running instance as JSON."""
    _print_path(address, status.FLOWS_PATH)


def _print_path(address: str, path: str) -> None:
    log.set_up_command_log()
    fetched = asyncio.run(status.fetch_json(_parse_address(address), path))
    if isinstance(fetched, Failure):
        _fail(fetched.failure())
    typer.echo(json.dumps(fetched.unwrap(), indent=2))


def _parse_address(text: str) -> Endpoint:
    try:
        return parse_endpoint(text)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error


def _report_findings(findings: tuple[object, ...]) -> NoReturn:
    for finding in findings:
        typer.echo(str(finding), err=True)
    raise typer.Exit(EXIT_FINDINGS)


def _fail(message: str) -> NoReturn:
    typer.echo(message, err=True)
    raise typer.Exit(EXIT_FAILURE)
