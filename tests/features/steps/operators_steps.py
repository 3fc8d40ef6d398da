"""Steps for the check, status endpoint, burn report, cookies and log lines."""

import asyncio
import io
import json
import re
import shutil
import tempfile
from pathlib import Path
from xml.etree import ElementTree

from behave import given, then, when
from loguru import logger
from returns.result import Success

from cardamomtiller import log
from cardamomtiller.datagrams.cookie import CookieSealer, explain_cookie
from cardamomtiller.identity import Endpoint, FlowId, ServiceClass, ServiceName
from cardamomtiller.lists import check
from cardamomtiller.lists.document import ObjectiveRow
from cardamomtiller.lists.settings import parse_settings
from cardamomtiller.operations import burn, burn_page, status
from cardamomtiller.wire_pb2 import Cookie
from tools import write_example

EXAMPLES = Path(__file__).resolve().parents[3] / 'examples'
SETTINGS_PATH = EXAMPLES / 'instance.ini'
FLOW_ID = FlowId(b'o' * 16)
# Number of section kinds in the published lists, each with a table on the page.
SECTION_KINDS = 8


@then(
    'the example lists "{folder}" pass the check and have '
    '{instances:d} instances and {upstreams:d} upstreams'
)
def check_example_lists(context, folder, instances, upstreams):
    assert not check.check_files(None, EXAMPLES / folder)
    catalog = check.read_lists(EXAMPLES / folder).catalog
    assert len(catalog.instances) == instances
    assert len(catalog.upstreams) == upstreams


@then('the example settings pass the check with "{folder}"')
def check_example_settings(context, folder):
    findings = check.check_files(SETTINGS_PATH, EXAMPLES / folder)
    assert not findings, findings


@then(
    'the example settings and the tables of docs/lists.md equal '
    'what the schema generates'
)
def check_example_current(context):
    assert SETTINGS_PATH.read_text() == write_example.render_settings()
    page = write_example.LISTS_PAGE.read_text()
    assert page == write_example.render_lists_page()
    assert len(write_example.MARKED_TABLE.findall(page)) == SECTION_KINDS


@then('the example settings with all keys uncommented equal the defaults')
def check_example_defaults(context):
    text = SETTINGS_PATH.read_text()
    commented = parse_settings(text, 'x').unwrap()
    explicit = re.sub(r'^# (\w+ =)', r'\1', text, flags=re.MULTILINE)
    assert explicit != text
    assert parse_settings(explicit, 'x').unwrap() == commented


@given('a copy of the example lists "{folder}"')
def copy_lists(context, folder):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    context.lists = Path(temporary.name) / 'lists'
    context.settings_path = None
    shutil.copytree(EXAMPLES / folder, context.lists)


@given('in list "{name}" the text "{old}" becomes "{new}"')
def change_list(context, name, old, new):
    path = context.lists / f'{name}.ini'
    text = path.read_text()
    assert old in text, f'{old!r} is not in {name}'
    path.write_text(text.replace(old, new, 1))


@given('the list "{name}" is removed')
def remove_list(context, name):
    (context.lists / f'{name}.ini').unlink()


@given('settings with an unknown key')
def write_unknown_key(context):
    text = SETTINGS_PATH.read_text().replace('[flow]', '[flow]\ncolour = blue')
    write_settings(context, text)


@given('settings that differ from the published instance')
def write_other_settings(context):
    text = SETTINGS_PATH.read_text()
    text = text.replace('failure_domain = nadi-a', 'failure_domain = nadi-b')
    text = text.replace('127.1.1.1:9401', '127.1.1.77:9401')
    text = text.replace('# flow_idle_ms = 30000', 'flow_idle_ms = 1999')
    text = text.replace('# stream_addresses =', 'stream_addresses = nosuch=127.0.0.1:1')
    write_settings(context, text)


def write_settings(context, text):
    """Write settings next to the copied lists."""
    context.settings_path = context.lists.parent / 'instance.ini'
    context.settings_path.write_text(text)


@then('the check finds exactly')
def check_findings_exactly(context):
    findings = check.check_files(context.settings_path, context.lists)
    found = {
        (Path(row.place.source).name, row.place.section, row.place.key)
        for row in findings
    }
    expected = {tuple(row) for row in context.table}
    assert found == expected, '\n'.join(map(str, findings))


class FakeProvider(status.StatusProvider):
    """Status provider whose ``/status`` view can raise an error."""

    is_faulty = False
    flow_count = 1

    def status(self):
        if self.is_faulty:
            raise RuntimeError('faulty view')
        return {'view': 'status'}

    def flows(self):
        return ({'flow': number} for number in range(self.flow_count))

    def counters(self):
        return {'counters': {'x': 1}}


@given('a status endpoint')
def start_status(context):
    context.provider = FakeProvider()
    context.status_loop = asyncio.new_event_loop()
    server = status.StatusServer(context.provider, Endpoint('127.0.0.1', 0))
    context.status_loop.run_until_complete(server.start())
    context.status_address = server.address
    context.add_cleanup(context.status_loop.close)
    context.add_cleanup(server.stop)


def fetch(context, path):
    """Fetch a path of the status endpoint of the scenario."""
    coroutine = status.fetch_json(context.status_address, path)
    return context.status_loop.run_until_complete(coroutine)


@then('"/status", "/flows" and "/counters" are read as JSON')
def check_views(context):
    assert fetch(context, '/status') == Success({'view': 'status'})
    assert fetch(context, '/flows') == Success([{'flow': 0}])
    assert fetch(context, '/counters') == Success({'counters': {'x': 1}})


@then('these request lines are refused')
def check_refused_lines(context):
    async def exchange(line):
        address = context.status_address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(f'{line}\r\n\r\n'.encode())
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return answer.decode().split()[1]

    for row in context.table:
        code = context.status_loop.run_until_complete(exchange(row['line']))
        assert code == row['code'], (row['line'], code)


@then('a view that raises an error is answered as "{code}" and the next request works')
def check_faulty_view(context, code):
    logger.remove()
    context.provider.is_faulty = True
    assert code in fetch(context, '/status').failure()
    context.provider.is_faulty = False
    assert isinstance(fetch(context, '/status'), Success)


@then('other tasks run at least {min_turns:d} times while {count:d} flows are sent')
def check_turns(context, min_turns, count):
    context.provider.flow_count = count

    async def count_turns():
        fetched = asyncio.create_task(
            status.fetch_json(context.status_address, '/flows')
        )
        turns = 0
        while not fetched.done():
            turns += 1
            await asyncio.sleep(0)
        return turns, fetched.result().unwrap()

    turns, rows = context.status_loop.run_until_complete(count_turns())
    assert len(rows) == count and turns >= min_turns, (len(rows), turns)


@then('a client that sends nothing does not delay the next client')
def check_silent_client(context):
    async def exchange():
        address = context.status_address
        _, silent = await asyncio.open_connection(address.host, address.port)
        answer = await status.fetch_json(address, '/status', timeout_ms=1000)
        silent.close()
        return answer

    answer = context.status_loop.run_until_complete(exchange())
    assert isinstance(answer, Success), answer


@then('an address without endpoint gives a one-line error')
def check_no_endpoint(context):
    context.status_address = Endpoint('127.0.0.1', 1)
    error = fetch(context, '/status').failure()
    assert '127.0.0.1:1' in error and '\n' not in error


@given('an objective of {target:g} for service "{service}" class "{name}"')
def set_objective(context, target, service, name):
    context.objectives = [
        ObjectiveRow(ServiceName(service), ServiceClass[name.upper()], 250, target)
    ]
    context.counter_prefix = f'sli.{service}.c1.{name}'


@given('counters sampled from two instances')
def read_counter_samples(context):
    samples = [
        burn.Sample(
            row['source'],
            float(row['time_s']) * 1000,
            {
                f'{context.counter_prefix}.good': int(row['good']),
                f'{context.counter_prefix}.bad': int(row['bad']),
                'relay.finished': 7,
            },
        )
        for row in context.table
    ]
    context.deltas = list(burn.read_samples(samples, list_services(context)))


def list_services(context):
    """Return the names of the services with objectives."""
    return [row.service for row in context.objectives]


@given(
    'statsd lines with {old_bad:d} of 1000 bad in the first minute '
    'and {new_bad:d} of 1000 bad an hour later'
)
def write_statsd(context, old_bad, new_bad):
    lines = []
    for time_s, bad in ((60, old_bad), (3660, new_bad)):
        lines.append(f'{time_s} p.{context.counter_prefix}.good:{1000 - bad}|c')
        lines.append(f'p.{context.counter_prefix}.bad:{bad}|c')
    context.deltas = list(burn.read_statsd(lines, list_services(context)))


@given('statsd lines of a customer named "{name}"')
def write_statsd_of_customer(context, name):
    prefix = f'sli.desk.{name}.urgent'
    lines = [f'{time_s} {prefix}.good:9|c' for time_s in (1, 2, 3)]
    context.deltas = list(burn.read_statsd(lines, list_services(context)))
    context.shown_name = name


@when('the burn is reported with windows of {short:d} s and {long:d} s')
def report_burn(context, short, long):
    context.options = burn.BurnOptions(short * 1000, long * 1000)
    rows = burn.make_report(context.deltas, context.objectives, context.options)
    context.report = rows
    (context.burn_row,) = rows


@then('the short burn is {short:g} and the long burn is {long:g}')
def check_rates(context, short, long):
    row = context.burn_row
    assert abs(row.short_burn - short) < 1e-6, row
    assert abs(row.long_burn - long) < 1e-6, row


@then('the budget left is {budget_left:g}')
def check_budget(context, budget_left):
    assert abs(context.burn_row.budget_left - budget_left) < 1e-6, context.burn_row


@then('the alert is "{name}"')
def check_alert(context, name):
    assert context.burn_row.alert.value == name, context.burn_row
    assert json.loads(json.dumps(burn.as_json(context.report)))[0]['alert'] == name
    assert name in list(burn.as_text(context.report))[1].split()


@then('these statsd lines count {good:d} good and {bad:d} bad events')
def check_lines(context, good, bad):
    deltas = burn.read_statsd(context.text.splitlines(), list_services(context))
    rows = burn.make_report(deltas, context.objectives, burn.BurnOptions())
    assert [(row.key.customer, row.good, row.bad) for row in rows] == [
        ('a.b', good, bad)
    ], rows


@then('the page has {count:d} plot and loads no other resource')
def check_page(context, count):
    context.page = burn_page.as_html(context.report, context.options)
    assert context.page.count('<polyline') == count
    assert not re.search('https?:|src=|href=|url\\(', context.page)


@then('the customer name is shown as text and not as markup')
def check_name(context):
    text = context.page.replace('<meta charset="utf-8">', '').partition('\n')[2]
    tree = ElementTree.fromstring(text)
    assert context.shown_name in [cell.text for cell in tree.iter('td')]


@given('a cookie sealed with key {key_id:d} of the example lists')
def seal_example(context, key_id):
    lists = check.read_lists(EXAMPLES / 'lists-vuniwai')
    context.cookie_keys = lists.catalog.keys
    sealer = CookieSealer()
    sealer.set_keys(dict(lists.catalog.keys))
    context.sealed = sealer.seal(FLOW_ID, Cookie(service='orderdesk', generation=4))
    assert context.sealed[0] == key_id


@then('it is explained as valid with key {key_id:d} "{state}" and service "{service}"')
def check_explained(context, key_id, state, service):
    explained = explain_cookie(context.sealed, FLOW_ID, context.cookie_keys)
    assert explained.is_valid and explained.key_id == key_id
    assert explained.key_state == state
    fields = dict(explained.fields)
    assert fields['service'] == service and fields['generation'] == '4'
    assert set(fields) == {row.name for row in Cookie.DESCRIPTOR.fields}


@then('altered copies of the cookie are explained as not valid')
def check_explained_changes(context):
    changes = {
        'another flow': (context.sealed, b'p' * 16),
        'another key id': (b'\x09' + context.sealed[1:], FLOW_ID),
        'cut short': (context.sealed[:10], FLOW_ID),
    }
    for row in context.table:
        sealed, flow = changes[row['change']]
        explained = explain_cookie(sealed, flow, context.cookie_keys)
        assert not explained.is_valid
        assert row['reason'] in explained.verdict, explained


@then(
    'a logged message "{message}" with an error is one JSON line with the fields '
    'time, level, module, message, instance and error'
)
def check_json_log(context, message):
    sink = io.StringIO()
    log.set_up_log(log.LogFormat.JSON, 'INFO', 'i1', sink)
    try:
        raise RuntimeError('first line\nsecond line')
    except RuntimeError:
        logger.exception('{}', message)
    (line,) = sink.getvalue().splitlines()
    row = json.loads(line)
    names = {'time', 'level', 'module', 'message', 'instance', 'error'}
    assert set(row) == names, row
    assert (row['message'], row['instance']) == (message, 'i1')
    assert 'second line' in row['error']


@then('a message below the configured level is not written')
def check_level(context):
    sink = io.StringIO()
    log.set_up_log(log.LogFormat.HUMAN, 'WARNING', 'i1', sink)
    logger.info('hidden')
    logger.warning('shown')
    (line,) = sink.getvalue().splitlines()
    assert line.endswith('shown'), line
    logger.remove()
