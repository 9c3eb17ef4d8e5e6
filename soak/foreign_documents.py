"""Documents of other writers: entries that name no worker, odd waves and statuses."""

import json
import time
from enum import Enum

# Deeper than any decoder of the entries follows.
NESTING_DEPTH = 20_000
# Integers above 64 bits, and a float that decodes to infinity.
HUGE_INTEGER = 10**400
INFINITE = "1e999"
# Stands for a value that the JSON encoder cannot write, until the text is complete.
PLACEHOLDER = "@value"


class EntryForm(Enum):
    """What is wrong with a foreign entry under ``servers/``."""

    NESTED = "nested"
    NESTED_LABELS = "nested_labels"
    HUGE_INTEGER = "huge_integer"
    INFINITE_CAPACITY = "infinite_capacity"
    INFINITE_BIRTH = "infinite_birth"
    PORT_OUT_OF_RANGE = "port_out_of_range"
    ADDRESS_NOT_TEXT = "address_not_text"
    SERVICE_IS_LIST = "service_is_list"
    MACHINE_IS_LIST = "machine_is_list"
    ZONE_IS_NUMBER = "zone_is_number"
    LABELS_ARE_NUMBER = "labels_are_number"
    CAPACITY_IS_TEXT = "capacity_is_text"
    UNKNOWN_STATE = "unknown_state"
    MISSING_FIELDS = "missing_fields"
    LONE_SURROGATE = "lone_surrogate"
    NOT_UTF8 = "not_utf8"
    NOT_JSON = "not_json"
    EMPTY = "empty"
    # Complete, but of a service that is not named anywhere, on a worker's machine.
    SAME_MACHINE = "same_machine"


class EntryName(Enum):
    """Id of a foreign entry; the ids of the workers begin with ``w``."""

    BEFORE_WORKERS = "!agent"
    NUMBER_BEFORE_WORKERS = "0"
    BEHIND_WORKERS = "watchdog"
    LAST = "~agent"
    BELOW_A_WORKER = "w8700/agent"
    EMPTY = ""
    LINE_BREAK = "x\r\nX-Agent: 1"
    NOT_ASCII = "żółw"


class DocumentForm(Enum):
    """What is wrong with a wave, a status or a worker's report."""

    NESTED = "nested"
    HUGE_INTEGER = "huge_integer"
    INFINITE = "infinite"
    WRONG_TYPES = "wrong_types"
    NOT_UTF8 = "not_utf8"
    NOT_JSON = "not_json"
    NULL = "null"
    LIST = "list"


def nested_list() -> str:
    """Return the text of a list nested more deeply than decoders allow."""
    return "[" * NESTING_DEPTH + "]" * NESTING_DEPTH


def _with_text(data: dict[str, object], text: str) -> bytes:
    """Encode ``data`` with ``text`` in place of PLACEHOLDER."""
    return json.dumps(data).replace(json.dumps(PLACEHOLDER), text).encode()


def _entry(address: str, machine: str) -> dict[str, object]:
    """Return an entry that is complete; each form changes one part of it."""
    return {
        "Service": "plans",
        "Address": address,
        "Zone": "a",
        "Version": "v9",
        "Slots": 1,
        "State": "ready",
        "Sequence": 1,
        "ColdRemainingMs": 0,
        "born": 1_700_000_000_000,
        "Capacity": {"Cpu": 8000, "MemMb": 32000, "Gpu": 0},
        "Labels": ["a", "r1"],
        "Machine": machine,
    }


_WRONG_ENTRY_FIELDS: dict[EntryForm, dict[str, object]] = {
    EntryForm.PORT_OUT_OF_RANGE: {"Address": "127.0.0.1:99999999"},
    EntryForm.ADDRESS_NOT_TEXT: {"Address": [9100]},
    EntryForm.SERVICE_IS_LIST: {"Service": ["plans"]},
    EntryForm.MACHINE_IS_LIST: {"Machine": ["m-1"]},
    EntryForm.ZONE_IS_NUMBER: {"Zone": 7, "Service": 7},
    EntryForm.LABELS_ARE_NUMBER: {"Labels": 5},
    EntryForm.CAPACITY_IS_TEXT: {"Capacity": "8000"},
    EntryForm.UNKNOWN_STATE: {"State": "resting"},
    EntryForm.SAME_MACHINE: {"Service": "watchdog"},
}
_WRONG_ENTRY_TEXTS: dict[EntryForm, tuple[dict[str, object], str]] = {
    EntryForm.NESTED_LABELS: ({"Labels": PLACEHOLDER}, nested_list()),
    EntryForm.HUGE_INTEGER: ({"born": PLACEHOLDER}, str(HUGE_INTEGER)),
    EntryForm.INFINITE_CAPACITY: ({"Capacity": {"Cpu": PLACEHOLDER}}, INFINITE),
    EntryForm.INFINITE_BIRTH: ({"born": PLACEHOLDER}, "1e300"),
    EntryForm.LONE_SURROGATE: ({"Service": PLACEHOLDER}, '"\\ud800"'),
}
_RAW_ENTRIES: dict[EntryForm, bytes] = {
    EntryForm.NESTED: nested_list().encode(),
    EntryForm.NOT_UTF8: b'{"Service":"\xff\xfe","State":"ready"}',
    EntryForm.NOT_JSON: b'{"Service":"plans","Address":',
    EntryForm.EMPTY: b"",
    EntryForm.MISSING_FIELDS: b'{"Service":"plans","State":"ready"}',
}


def foreign_entry(form: EntryForm, address: str, machine: str) -> bytes:
    """Return the value of an entry; ``machine`` is that of a sound worker."""
    if form in _RAW_ENTRIES:
        return _RAW_ENTRIES[form]
    # Only this form claims a worker's machine, so that each form has one fault. It also
    # claims to be the later process on that machine.
    if form is EntryForm.SAME_MACHINE:
        born_ms = int(time.time() * 1000)
        entry = {**_entry(address, machine), "born": born_ms}
    else:
        entry = _entry(address, "m-agent")
    if form in _WRONG_ENTRY_TEXTS:
        fields, text = _WRONG_ENTRY_TEXTS[form]
        return _with_text({**entry, **fields}, text)
    return json.dumps({**entry, **_WRONG_ENTRY_FIELDS[form]}).encode()


def _odd_document(
    form: DocumentForm, fields: dict[str, object], wrong: dict[str, object]
) -> bytes:
    """Return a document whose fields have PLACEHOLDER where a number belongs."""
    match form:
        case DocumentForm.NESTED:
            return _with_text(fields, nested_list())
        case DocumentForm.HUGE_INTEGER:
            return _with_text(fields, str(HUGE_INTEGER))
        case DocumentForm.INFINITE:
            return _with_text(fields, INFINITE)
        case DocumentForm.WRONG_TYPES:
            return json.dumps(wrong).encode()
        case DocumentForm.NOT_UTF8:
            return b'{"Wave":"\xff"}'
        case DocumentForm.NOT_JSON:
            return b'{"Wave":'
        case DocumentForm.NULL:
            return b"null"
        case DocumentForm.LIST:
            return b"[]"


def odd_wave(form: DocumentForm) -> bytes:
    """Return the value of a maintenance wave that cannot be used."""
    fields: dict[str, object] = {
        "Wave": PLACEHOLDER, "Machines": ["m-1"], "DurationS": PLACEHOLDER,
        "Maximum": PLACEHOLDER,
    }  # fmt: skip
    wrong: dict[str, object] = {
        "Wave": [1], "Machines": 7, "DurationS": "soon", "Maximum": {},
    }  # fmt: skip
    return _odd_document(form, fields, wrong)


def odd_status(form: DocumentForm) -> bytes:
    """Return the value of a wave's status that cannot be read."""
    return _odd_document(form, {"State": PLACEHOLDER}, {"State": ["completed"]})


def odd_report(form: DocumentForm) -> bytes:
    """Return the body of a worker's answer to a poll that is no report."""
    row = ["0000000000000000.0.0.0", PLACEHOLDER, "", PLACEHOLDER, 0]
    fields: dict[str, object] = {"ClockMs": PLACEHOLDER, "Running": [row]}
    wrong: dict[str, object] = {"ClockMs": "soon", "Running": {}, "Finished": [[1]]}
    return _odd_document(form, fields, wrong)
