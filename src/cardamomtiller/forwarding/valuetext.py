"""Short texts for decoded values in error messages and log lines."""

MAX_CHARACTERS = 99


def describe(value: object) -> str:
    """
    Return a text for a decoded value, at most ``MAX_CHARACTERS`` and two quotes long.

    A container is described by its type only: another writer determines how deeply it
    is nested, and the text of a deeply nested one exceeds the recursion limit.
    """
    if isinstance(value, (str, bytes)):
        return repr(value[:MAX_CHARACTERS])
    if value is None or isinstance(value, (bool, int, float)):
        return repr(value)[:MAX_CHARACTERS]
    return f'a {type(value).__name__}'
