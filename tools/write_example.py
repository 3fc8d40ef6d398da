"""Write examples/instance.ini from the schema, or check that it is current.

Every key stands with its meaning, range, unit and default. Keys that an
instance needs and that have no default get the values of ``EXAMPLES``.
"""

import sys
import textwrap
from collections.abc import Iterator
from pathlib import Path

from google.protobuf.descriptor import Descriptor, FieldDescriptor

from cardamomtiller.settings_pb2 import Limits, Settings, limits

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / 'examples' / 'instance.ini'
WIDTH = 78
HEAD = (
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
    """Write the file, or with ``--check`` compare it."""
    text = render()
    if '--check' in sys.argv[1:]:
        is_current = TARGET.exists() and TARGET.read_text() == text
        print('up to date' if is_current else f'{TARGET} is out of date')
        return 0 if is_current else 1
    TARGET.parent.mkdir(exist_ok=True)
    TARGET.write_text(text)
    return 0


def render() -> str:
    """Return the text of the file."""
    return '\n'.join(_lines()) + '\n'


def _lines() -> Iterator[str]:
    yield from _comment(HEAD)
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
    """Return kind, range, unit and default of a key in one sentence."""
    parts = [_kind(field, rule)]
    unit = next((UNITS[end] for end in UNITS if field.name.endswith(end)), '')
    if unit:
        parts.append(unit)
    if rule.maximum:
        parts.append(f'{_number(rule.minimum)} to {_number(rule.maximum)}')
    if rule.is_required:
        parts.append('required')
    else:
        parts.append(f'default {rule.default_value or "empty"}')
    return '; '.join(parts) + '.'


def _kind(field: FieldDescriptor, rule: Limits) -> str:
    if rule.choices:
        return 'One of ' + ', '.join(rule.choices)
    if field.cpp_type == FieldDescriptor.CPPTYPE_STRING:
        return FORMATS.get(rule.format, 'Text')
    if field.cpp_type == FieldDescriptor.CPPTYPE_BOOL:
        return 'true or false'
    return 'Number' if field.cpp_type == FieldDescriptor.CPPTYPE_DOUBLE else 'Integer'


def _number(value: float) -> str:
    return str(int(value)) if value == int(value) else str(value)


def _comment(text: str) -> Iterator[str]:
    for line in textwrap.wrap(text, WIDTH):
        yield f'# {line}'


if __name__ == '__main__':
    sys.exit(main())
