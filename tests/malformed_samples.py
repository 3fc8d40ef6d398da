"""Malformed values for the fields of records, and whole malformed records, as JSON."""

import json

# Around the recursion limit of the interpreter and the depth limit of the JSON library.
DEPTHS = (1, 10, 300, *range(800, 1040, 8), 1100, 5000, 200_000)
DIGITS = (20, 400, 4000, 4300, 4301, 100_000, 1_000_000)
PORTS = ('0', '65536', '-1', '1' * 40, '+80', ' 80', '8_0', '0x50', '', '080000', '८०')
HOSTS = (
    '0.0.0.0',
    '255.255.255.255',
    '224.0.0.1',
    '256.0.0.1',
    '10.0.0',
    '010.0.0.1',
    '१०.0.0.1',
    '::1',
    'localhost',
    '',
)
NOT_DURATIONS = ('NaN', 'Infinity', '1e999', '1' + '0' * 400, '-1', '"1"', 'true', '[]')


def nested_lists(depth):
    """Return nested JSON lists."""
    return '[' * depth + ']' * depth


def nested_objects(depth):
    """Return nested JSON objects."""
    return '{"a":' * depth + '1' + '}' * depth


def with_value(fields, name, value):
    """Return a JSON object with one field replaced by a JSON text."""
    return json.dumps({**fields, name: '@'}).replace('"@"', value)
