"""Steps for the check of a configuration."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

import check
import examination
from behave import then
from typer.testing import CliRunner

from cardamomtiller.forwarding.published.configuration import Configuration
from cardamomtiller.forwarding.published.consistency import Severity
from tests.forwarding_rig import ROOT
from tests.malformed_samples import DEPTHS, nested_lists, with_value
from tests.platform_samples import CONFIGURATION, ROUTE
from tools.standins.store import Fault, Store

SERVICE = {'name': 'huvo11a', 'max_connections': 9, 'warmup_s': 2, 'warmup_per_s': 3}
SHARE = {'service': 'huvo11a', 'weight': 1}
VALUES = ('null', 'true', '-1', '0', '7.5', '1e300', 'NaN', '""', '"x"', '[]', '{}')
VALUES += (
    '"1\\n"',
    '[3]',
    '[{}]',
    '"0/"',
    '"65536"',
    '"010.0.0.1"',
    '9007199254740993',
)
ERRORS_BY_LINE = """{
  "version": "7",
  "routes": [
    {"name": "", "host": "198.18.0.300", "prefix": "/443000/",
     "service": 5},
    7,
    {"name": "b", "host": "198.18.0.1", "prefix": "/443/",
     "traffic_split": [{"weight": 3}, 3,
       {"weight": "3", "service": "x"}]}
  ],
  "services": [{"max_connections": -1}],
  "limits": {"idle_timeout_ms": true}
}"""


def examined(document, in_force=CONFIGURATION):
    """Return (severity, line, key) of each finding in a document."""
    text = document if isinstance(document, str) else json.dumps(document, indent=0)
    configuration = examination.decode_text(json.dumps({**in_force, 'version': 1}))
    return [
        (finding.severity, finding.line, finding.key)
        for finding in examination.examine(text, configuration).findings
    ]


def warned_keys(routes=(ROUTE,), services=(), **fields):
    """Return the keys of the findings in a configuration, which must be warnings."""
    document = {**CONFIGURATION, 'routes': routes, 'services': services, **fields}
    found = examined(document)
    assert all(severity is Severity.WARNING for severity, _, _ in found), found
    return [key for _, _, key in found]


def run_check(document, *arguments, in_force=None):
    """Run the command on a document; return its exit code and output."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, 'new.json')
        raw = document if isinstance(document, bytes) else json.dumps(document).encode()
        path.write_bytes(raw)
        if in_force is not None:
            in_force_path = Path(folder, 'old.json')
            in_force_path.write_text(json.dumps(in_force))
            arguments = ('--in-force', str(in_force_path), *arguments)
        result = CliRunner().invoke(check.app, [str(path), *arguments])
    assert isinstance(result.exception, (SystemExit, type(None))), result.exception
    return result.exit_code, result.output


@then('all invalid fields are reported at once with line and key')
def step_all_errors(context):
    found = examined(ERRORS_BY_LINE)
    assert all(severity is Severity.ERROR for severity, _, _ in found)
    assert ' '.join(f'{line} {key}' for _, line, key in found) == (
        '2 version 4 routes[0].host 4 routes[0].prefix 4 routes[0].name '
        '5 routes[0].service 6 routes[1] 8 routes[2].traffic_split[0].service '
        '8 routes[2].traffic_split[1] 9 routes[2].traffic_split[2].weight '
        '11 services[0].name 11 services[0].max_connections 12 limits.idle_timeout_ms'
    ), found


def documents_with_value(value):
    """Yield documents with a JSON text as the value of one field, by the key's path."""
    for key in CONFIGURATION:
        yield key, with_value(CONFIGURATION, key, value)
    routes = {
        f'routes[0].{key}': with_value(ROUTE, key, value)
        for key in (*ROUTE, 'traffic_split')
    }
    for key in SHARE:
        split = f'[{with_value(SHARE, key, value)}]'
        path = f'routes[0].traffic_split[0].{key}'
        routes[path] = with_value(ROUTE, 'traffic_split', split)
    for path, route in routes.items():
        yield path, with_value(CONFIGURATION, 'routes', f'[{route}]')
    for key in SERVICE:
        service = with_value(SERVICE, key, value)
        path = f'services[0].{key}'
        yield path, with_value(CONFIGURATION, 'services', f'[{service}]')


@then('the check reports an error for exactly the values that the decoder rejects')
def step_same_verdict(context):
    rejected = 0
    for value in VALUES:
        for path, document in documents_with_value(value):
            decoded = examination.decode_text(document)
            result = examination.examine(document)
            found = result.findings
            errors = [error for error in found if error.severity is Severity.ERROR]
            if isinstance(decoded, Configuration):
                assert result.configuration == decoded, (path, value)
                # An entry that instances accept but cannot use.
                assert all('no service' in error.message for error in errors), errors
            else:
                rejected += 1
                assert result.configuration is None
                assert errors[0].key.startswith(path), (path, value, errors)
                assert errors[0].message == decoded.reason, (path, value, errors)
    assert rejected > len(VALUES)


@then('each report of an invalid number or port states its range')
def step_ranges(context):
    route = {**ROUTE, 'prefix': '70000', 'timeout_ms': 1e300}
    _, output = run_check({**CONFIGURATION, 'routes': [route]})
    assert "'70000' is not a port from 1 to 65535" in output, output
    assert 'must be from -9007199254740992 to 9007199254740992' in output, output


@then('replaced routes, shares without flows and unused services are reported')
def step_never_match(context):
    other = {**ROUTE, 'name': 'other', 'host': '198.18.0.2'}
    assert warned_keys((ROUTE, other, ROUTE)) == ['routes[0].host']
    for weight in (0, 0.9, -3):
        split = [SHARE, {'service': 'spare', 'weight': weight}]
        keys = warned_keys(({**ROUTE, 'traffic_split': split},))
        assert keys == ['routes[0].traffic_split[1].weight'], keys
    keys = warned_keys(services=(SERVICE, {'name': 'spare'}, SERVICE))
    assert keys == ['services[0].name', 'services[1].name']
    unusable = {**ROUTE, 'traffic_split': [{**SHARE, 'weight': 0}]}
    found = examined({**CONFIGURATION, 'routes': [unusable]})
    severities = {key: severity for severity, _, key in found}
    assert severities['routes[0].traffic_split'] is Severity.ERROR, found


@then('contradicting limits are reported with line and key')
def step_contradictions(context):
    late = {**ROUTE, 'target_latency_ms': 2501}
    assert warned_keys((late,)) == ['routes[0].target_latency_ms']
    other = {**ROUTE, 'host': '198.18.0.2'}
    # Without a value, the decoder uses its default.
    keys = warned_keys((other, {**ROUTE, 'timeout_ms': 12_001}), limits={})
    assert keys == ['limits.idle_timeout_ms']
    assert warned_keys(limits={'idle_timeout_ms': 2499}) == ['limits.idle_timeout_ms']
    keys = warned_keys(services=({**SERVICE, 'warmup_s': 0},))
    assert keys == ['services[0].warmup_per_s']
    for key in ('timeout_ms', 'target_latency_ms'):
        route = {**ROUTE, 'target_latency_ms': -2, key: -1}
        assert f'routes[0].{key}' in warned_keys((route,))
    assert warned_keys(({**ROUTE, 'priority': 1.5},)) == ['routes[0].priority']
    keys = warned_keys(services=({**SERVICE, 'max_connections': 0.5},))
    assert keys == ['services[0].max_connections']


@then('limits that just agree are not reported')
def step_agreeing_limits(context):
    route = {**ROUTE, 'target_latency_ms': ROUTE['timeout_ms']}
    limits = {'idle_timeout_ms': ROUTE['timeout_ms']}
    assert not warned_keys((route,), (SERVICE,), limits=limits)


@then('malformed text is reported with its line')
def step_malformed_text(context):
    for text in ('', '{"version": 1,\n', '[\n1,\n]', '{\n"a" 1}', '{}\nx', '{"a": 01}'):
        ((severity, line, _),) = examined(text)
        assert severity is Severity.ERROR, text
        assert line == text.count('\n') + 1, (text, line)
    for depth in DEPTHS:
        assert examined(with_value(CONFIGURATION, 'limits', nested_lists(depth)))
    assert examined(with_value(CONFIGURATION, 'version', '9' * 5000))
    assert all(examined(text) for text in ('5', '[]', '{}', 'null'))


@then('a repeated key is reported')
def step_repeated_key(context):
    text = json.dumps(CONFIGURATION)[:-1] + ',\n"version": 8}'
    assert examined(text) == [(Severity.WARNING, 2, 'version')]


@then('a version below the one in force is an error')
def step_lower_version(context):
    code, output = run_check(CONFIGURATION, in_force={**CONFIGURATION, 'version': 8})
    assert code == check.ExitCode.ERRORS, output
    assert 'error: version: 7 is below 8' in output, output


@then('other content under the version in force is a warning')
def step_equal_version(context):
    code, output = run_check(CONFIGURATION, in_force={**CONFIGURATION, 'routes': []})
    assert code == check.ExitCode.WARNINGS, output
    assert 'added: route 198.18.0.1:8443' in output, output


@then('the configuration in force itself gives no finding')
def step_same_configuration(context):
    code, output = run_check(CONFIGURATION, in_force=CONFIGURATION)
    assert code == check.ExitCode.CLEAN, output
    assert 'equal to the version in force' in output, output


@then('each difference from the version in force is reported')
def step_differences(context):
    other = {**ROUTE, 'host': '198.18.0.2'}
    old = {**CONFIGURATION, 'routes': [ROUTE, other], 'services': [SERVICE]}
    route = {**ROUTE, 'type': 'unsafe', 'timeout_ms': 2600}
    new = {'version': 8, 'routes': [route], 'services': [{**SERVICE, 'warmup_s': 4}]}
    _, output = run_check(new, '--json', in_force=old)
    changes = [tuple(change.values()) for change in json.loads(output)['differences']]
    removed = changes.pop(3)
    assert removed[:2] == ('removed', 'route 198.18.0.2:8443')
    assert removed[3].startswith('name r-a3hwrr6, ') and not removed[4]
    assert changes == [
        ('changed', 'configuration', 'version', '7', '8'),
        ('changed', 'route 198.18.0.1:8443', 'timeout_ms', '2500', '2600'),
        ('changed', 'route 198.18.0.1:8443', 'is_repeatable', 'True', 'False'),
        ('changed', 'service huvo11a', 'warmup_ms', '2000', '4000'),
    ], changes


@then('numbers that differ in the last digit are reported as different')
def step_last_digit(context):
    for before, after in ((12_345_678, 12_345_679), (0.1, 0.1 + 1e-15)):
        old = {**CONFIGURATION, 'limits': {'idle_timeout_ms': before}}
        new = {'version': 8, 'routes': [], 'limits': {'idle_timeout_ms': after}}
        _, output = run_check(new, in_force=old)
        assert 'changed: configuration: idle_timeout_ms' in output, output


@then('it is read from the store, which gets only reads')
def step_store(context):
    store = Store(('127.0.0.1', 0))
    context.add_cleanup(store.close)
    address = f'127.0.0.1:{store.address[1]}'
    code, output = run_check(CONFIGURATION, '--store', address)
    assert code == check.ExitCode.CLEAN, output
    assert 'added: configuration' in output, output
    for number in range(120):
        store.put(f'a/{number:03}', {})
    store.put('op/config', {**CONFIGURATION, 'version': 9})
    before = store.copy()
    code, output = run_check(CONFIGURATION, '--store', address)
    assert code == check.ExitCode.ERRORS, output
    assert 'version 9 -> 7' in output, output
    assert store.copy() == before
    context.store_address = address
    store.put('op/config', b'{')
    assert run_check(CONFIGURATION, '--store', address)[0] == check.ExitCode.UNREADABLE


@then('files and stores that cannot be read give exit code 3')
def step_unreadable(context):
    store = Store(('127.0.0.1', 0))
    context.add_cleanup(store.close)
    address = f'127.0.0.1:{store.address[1]}'
    for store.fault in (Fault.BUSY, Fault.GONE, Fault.RESET, Fault.NOISE):
        code, output = run_check(CONFIGURATION, '--store', address)
        assert code == check.ExitCode.UNREADABLE, (store.fault, output)
    code, output = run_check(CONFIGURATION, in_force={**CONFIGURATION, 'version': None})
    assert code == check.ExitCode.UNREADABLE, output
    assert run_check(b'\xff{}')[0] == check.ExitCode.UNREADABLE
    missing = CliRunner().invoke(check.app, ['no/such/file.json'])
    assert missing.exit_code == check.ExitCode.UNREADABLE


@then('the exit code is that of the worst finding, also from a shell')
def step_exit_code(context):
    late = {**ROUTE, 'target_latency_ms': 9999}
    for expected, routes in ((0, [ROUTE]), (1, [late]), (2, [late, {}])):
        document = {**CONFIGURATION, 'routes': routes}
        assert run_check(document)[0] == expected
        command = [sys.executable, str(ROOT / 'platform/check.py'), '/dev/stdin']
        completed = subprocess.run(command, input=json.dumps(document).encode())
        assert completed.returncode == expected, completed


@then('the JSON form has the same findings as the text')
def step_json(context):
    document = {**CONFIGURATION, 'routes': [{**ROUTE, 'host': 'x'}]}
    _, text = run_check(document)
    report = json.loads(run_check(document, '--json')[1])
    (finding,) = report['findings']
    assert finding['severity'] == 'error' and finding['line'] == 1
    assert f':1: error: {finding["key"]}: {finding["message"]}' in text, text
    assert report['differences'] is None
