"""Generate the example settings and the tables of list keys from the schema.

examples/instance.ini holds every key with its meaning, range, unit and default; keys
without a default get the values of ``EXAMPLES``. In docs/lists.md the table after each
``<!-- keys of MESSAGE -->`` is replaced. With ``--check`` nothing is written, and the
exit code is 1 if a file is out of date.
"""

import re
import sys
import textwrap
from collections.abc import Iterator
from pathlib import Path

from google.protobuf.descriptor import Descriptor, FieldDescriptor

from cardamomtiller import document_pb2
from cardamomtiller.settings_pb2 import Limits, Settings, limits

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = ROOT / 'examples' / 'instance.ini'
LISTS_PAGE = ROOT / 'docs' / 'lists.md'
MARKED_TABLE = re.compile(r'<!-- keys of (\w+) -->\n(?:\|.*\n)*')
WIDTH = 78
HEADER_COMMENT = (
    'Settings of one instance. This file is generated from the schema by '
    'tools/write_example.py. A key that is commented out shows its default; '
    'the keys without a comment sign have no default and are needed. Comments '
    'stand on lines of their own or after " #" and " ;". Check an edited copy '
    'with: cardamomtiller check --settings instance.ini --lists FOLDER'
)
EXAMPLES = {
    ('instance', 'name'): 'vuniwai-1',
    ('instance', 'region'): 'viti-west',
    ('instance', 'failure_domain'): 'nadi-a',
    ('instance', 'peer_address'): '127.1.1.1:9401',
    ('instance', 'status_address'): '127.1.1.1:9402',
    ('instance', 'cluster_key'): '5f1e6d0c7b2a49388d17c6b5a4f39281',
    ('source', 'url'): 'http://127.0.0.1:9400',
    ('source', 'seed_peers'): '127.1.1.2:9401, 127.1.1.3:9401',
}
UNITS = {
    '_ms': 'milliseconds',
    '_bytes': 'bytes',
    '_per_s': 'per second',
    '_share': 'share of 1',
    '_ratio': 'share of 1',
}
FORMATS = {
    'host_port': 'IP:PORT',
    'host_port_list': 'IP:PORT, ...',
    'named_host_port_list': 'SERVICE=IP:PORT, ...',
    'hex_key': '32 to 128 hex digits',
    'http_url': 'http or https URL',
}


def main() -> int:
    """Write the outdated files, or with ``--check`` only print their names."""
    texts = {EXAMPLE: render_settings(), LISTS_PAGE: render_lists_page()}
    outdated = [path for path, text in texts.items() if read_if_exists(path) != text]
    for path in outdated:
        print(f'{path.relative_to(ROOT)} is out of date')
        if '--check' not in sys.argv[1:]:
            path.write_text(texts[path])
    return 1 if outdated and '--check' in sys.argv[1:] else 0


def read_if_exists(path: Path) -> str:
    """Return the text of a file, or an empty text if it does not exist."""
    return path.read_text() if path.exists() else ''


def render_settings() -> str:
    """Generate the text of the example settings."""
    return '\n'.join(_settings_lines()) + '\n'


def render_lists_page() -> str:
    """Return the text of docs/lists.md with the tables generated anew."""
    return MARKED_TABLE.sub(_replace_table, read_if_exists(LISTS_PAGE))


def _replace_table(match: re.Match[str]) -> str:
    message = getattr(document_pb2, match[1]).DESCRIPTOR
    table_lines = ['| key | meaning | value |', '| --- | --- | --- |']
    for field in message.fields:
        rule = field.GetOptions().Extensions[limits]
        table_lines.append(
            f'| `{field.name}` | {rule.help} | {describe(field, rule)} |'
        )
    return f'<!-- keys of {match[1]} -->\n' + '\n'.join(table_lines) + '\n'


def _settings_lines() -> Iterator[str]:
    yield from _comment(HEADER_COMMENT)
    for section in Settings.DESCRIPTOR.fields:
        yield ''
        yield f'[{section.name}]'
        yield from _section_lines(section.name, section.message_type)


def _section_lines(section: str, message: Descriptor) -> Iterator[str]:
    for field in message.fields:
        rule = field.GetOptions().Extensions[limits]
        yield ''
        yield from _comment(rule.help)
        yield from _comment(describe(field, rule))
        example = EXAMPLES.get((section, field.name))
        if example is None:
            yield f'# {field.name} = {rule.default_value}'.rstrip()
        else:
            yield f'{field.name} = {example}'


def describe(field: FieldDescriptor, rule: Limits) -> str:
    """Describe type, unit, range and default of a key, separated by semicolons."""
    phrases = [_describe_type(field, rule)]
    unit = next((UNITS[suffix] for suffix in UNITS if field.name.endswith(suffix)), '')
    if unit:
        phrases.append(unit)
    if rule.maximum:
        phrases.append(
            f'{_format_number(rule.minimum)} to {_format_number(rule.maximum)}'
        )
    if rule.is_required:
        phrases.append('required')
    else:
        phrases.append(f'default {rule.default_value or "empty"}')
    return '; '.join(phrases) + '.'


def _describe_type(field: FieldDescriptor, rule: Limits) -> str:
    if rule.choices:
        return 'One of ' + ', '.join(rule.choices)
    if field.cpp_type == FieldDescriptor.CPPTYPE_STRING:
        return FORMATS.get(rule.format, 'Text')
    if field.cpp_type == FieldDescriptor.CPPTYPE_BOOL:
        return 'true or false'
    return 'Number' if field.cpp_type == FieldDescriptor.CPPTYPE_DOUBLE else 'Integer'


def _format_number(value: float) -> str:
    return str(int(value)) if value == int(value) else str(value)


def _comment(text: str) -> Iterator[str]:
    for line in textwrap.wrap(text, WIDTH):
        yield f'# {line}'


if __name__ == '__main__':
    sys.exit(main())
