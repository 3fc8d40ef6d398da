"""Command line: parses arguments and prints the results of other modules."""

import asyncio
import json
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict
from importlib import metadata
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
from returns.result import Failure
from typer.completion import get_completion_inspect_parameters, get_completion_script
from typer.core import TyperCommand, TyperGroup

from cardamomtiller import log
from cardamomtiller.datagrams.cookie import Explanation, explain_cookie
from cardamomtiller.identity import MS_PER_S, Endpoint, parse_endpoint
from cardamomtiller.lists import check
from cardamomtiller.lists.document import KeyRow, ObjectiveRow
from cardamomtiller.lists.settings import load_settings
from cardamomtiller.operations import burn, burn_page, status

PROGRAM = 'cardamomtiller'
COMPLETION_SHELLS = ('bash', 'zsh', 'fish')
EXIT_FAILURE = 1
EXIT_FINDINGS = 2


class _PlainConversion:
    """Replacement for the converter that typer calls for every parameter."""

    def coerce(self, value: Any, param: Any, ctx: Any) -> Any:
        """
        Convert the text of a parameter to its type.

        Raises
        ------
        typer.BadParameter
            If the text is not a number although the type is int or float.
        """
        target_type = param.type_descriptor.annotation
        if value is None:
            return () if param.multiple else None
        if param.multiple:
            return list(value)
        if target_type not in {int, float} or isinstance(value, target_type):
            return value
        try:
            return target_type(value)
        except ValueError as error:
            message = f'{value!r} is not a number'
            raise typer.BadParameter(message, ctx=ctx, param=param) from error


def _set_conversion(parameters: list[Any]) -> list[Any]:
    # typer has no public interface to replace the converter.
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
    """Command group whose parameters are converted without pydantic."""

    def __init__(self, *args: Any, **options: Any) -> None:
        """Register the shells that completion supports."""
        super().__init__(*args, **options)
        get_completion_inspect_parameters()

    def get_params(self, ctx: Any) -> list[Any]:
        """Return the parameters, each with the plain conversion."""
        return _set_conversion(super().get_params(ctx))


# The completion options of typer are off: they edit the start-up files of the shell.
app = typer.Typer(
    cls=PlainGroup,
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    help='Layer-4 load balancer whose instances keep no durable state.',
)


report_app = typer.Typer(
    cls=PlainGroup,
    no_args_is_help=True,
    rich_markup_mode=None,
    help='Reports computed from the counters of instances.',
)
app.add_typer(report_app, name='report')


def _command(
    name: str,
    example: str,
    parent: typer.Typer = app,
    group_prefix: str = '',
) -> Callable[[Any], Any]:
    return parent.command(
        name,
        cls=PlainCommand,
        epilog=f'Example: {PROGRAM} {group_prefix}{name} {example}'.rstrip(),
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
    typer.echo(metadata.version(PROGRAM))


@_command('completion', 'bash')
def completion(
    shell: Annotated[str, typer.Argument(help='bash, zsh or fish.')],
) -> None:
    """Print the script that completes commands and options in a shell."""
    if shell not in COMPLETION_SHELLS:
        raise typer.BadParameter(
            f'{shell!r} is not one of {", ".join(COMPLETION_SHELLS)}'
        )
    script = get_completion_script(
        prog_name=PROGRAM,
        complete_var=f'_{PROGRAM.upper()}_COMPLETE',
        shell=shell,
    )
    typer.echo(script)


@_command('run', '--settings instance.ini')
def run(settings: SettingsOption) -> None:
    """Run an instance until SIGTERM or SIGINT, then stop gracefully."""
    loaded = load_settings(Path(settings))
    if isinstance(loaded, Failure):
        _report_findings(loaded.failure())
    # Imported late, so that other commands start without loading the data path.
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
    """Print the key id, the validity and the fields of a sealed cookie."""
    keys = check.read_lists(Path(lists)).catalog.keys
    explanation = _explain(sealed, flow, keys)
    typer.echo('\n'.join(explanation.lines()))
    if not explanation.is_valid:
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


@_command(
    'burn',
    '--lists lists --address 127.0.0.1:9402 --samples 60 --form html',
    report_app,
    'report ',
)
def report_burn(
    lists: ListsOption,
    address: Annotated[
        list[str] | None,
        typer.Option('--address', help='Status address to sample; may be repeated.'),
    ] = None,
    statsd: Annotated[
        str,
        typer.Option('--statsd', help='File of statsd lines instead of addresses.'),
    ] = '',
    samples: Annotated[
        int, typer.Option('--samples', help='Number of times each address is read.')
    ] = 2,
    interval_ms: Annotated[
        float, typer.Option('--interval-ms', help='Time between two samples.')
    ] = 1000,
    short_window_ms: Annotated[
        float, typer.Option('--short-window-ms', help='Length of the short window.')
    ] = burn.SHORT_WINDOW_MS,
    long_window_ms: Annotated[
        float, typer.Option('--long-window-ms', help='Length of the long window.')
    ] = burn.LONG_WINDOW_MS,
    fast_burn: Annotated[
        float, typer.Option('--fast-burn', help='Burn rate of the fast alert.')
    ] = burn.FAST_BURN,
    slow_burn: Annotated[
        float, typer.Option('--slow-burn', help='Burn rate of the slow alert.')
    ] = burn.SLOW_BURN,
    form: Annotated[
        str, typer.Option('--form', help='Output format: text, json or html.')
    ] = 'text',
) -> None:
    """Print how fast each service, customer and class uses its error budget."""
    if form not in _FORMATTERS:
        raise typer.BadParameter(f'{form!r} is not one of {", ".join(_FORMATTERS)}')
    if bool(address) == bool(statsd):
        raise typer.BadParameter('give either --address or --statsd')
    objectives = tuple(_read_objectives(Path(lists)))
    services = {row.service for row in objectives}
    options = burn.BurnOptions(short_window_ms, long_window_ms, fast_burn, slow_burn)
    if statsd:
        deltas = tuple(burn.read_statsd(_read_lines(Path(statsd)), services))
    else:
        addresses = tuple(_parse_address(text) for text in address or ())
        collected = asyncio.run(_collect_samples(addresses, samples, interval_ms))
        deltas = tuple(burn.read_samples(collected, services))
    report = burn.make_report(deltas, objectives, options)
    typer.echo(_FORMATTERS[form](report, options))


def _format_text(rows: tuple[burn.BurnRow, ...], _: burn.BurnOptions) -> str:
    return '\n'.join(burn.as_text(rows))


def _format_json(rows: tuple[burn.BurnRow, ...], options: burn.BurnOptions) -> str:
    return json.dumps(
        {'options': asdict(options), 'rows': burn.as_json(rows)}, indent=2
    )


_FORMATTERS: Mapping[
    str,
    Callable[[tuple[burn.BurnRow, ...], burn.BurnOptions], str],
] = {'text': _format_text, 'json': _format_json, 'html': burn_page.as_html}


def _read_objectives(folder: Path) -> Iterable[ObjectiveRow]:
    lists = check.read_lists(folder)
    objectives = lists.catalog.objectives.values()
    if not objectives:
        _report_findings(lists.findings or (f'{folder}: no objectives',))
    return objectives


def _read_lines(path: Path) -> list[str]:
    try:
        return path.read_text(encoding='utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as error:
        _fail(f'{path}: cannot be read: {error}')


async def _collect_samples(
    addresses: tuple[Endpoint, ...],
    rounds: int,
    interval_ms: float,
) -> list[burn.Sample]:
    collected: list[burn.Sample] = []
    for index in range(rounds):
        if index:
            await asyncio.sleep(interval_ms / MS_PER_S)
        path = status.COUNTERS_PATH
        results = await asyncio.gather(
            *(status.fetch_json(address, path) for address in addresses),
        )
        for address, result in zip(addresses, results, strict=True):
            if isinstance(result, Failure):
                # The report covers the other instances.
                typer.echo(result.failure(), err=True)
            else:
                collected.append(_to_sample(address, result.unwrap()))
    return collected


def _to_sample(address: Endpoint, answer: status.Json) -> burn.Sample:
    counts = answer.get('counters') if isinstance(answer, Mapping) else None
    if not isinstance(counts, Mapping):
        _fail(f'{address}: answer has no counters')
    # Sampling may run for hours, so only the counters of the report are kept.
    events = {
        name: total
        for name, total in counts.items()
        if name.startswith(burn.COUNTER_PREFIX)
    }
    return burn.Sample(str(address), time.time() * MS_PER_S, events)


def _print_path(address: str, path: str) -> None:
    log.set_up_command_log()
    result = asyncio.run(status.fetch_json(_parse_address(address), path))
    if isinstance(result, Failure):
        _fail(result.failure())
    typer.echo(json.dumps(result.unwrap(), indent=2))


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
