"""Scripted histories of a folder. Every version with the format of revision 0018238 writes the same bytes."""

from storage_real import open_store

from lichenquay.storage.incarnation import next_incarnation

FLEET = "fleet-golden"
NAME = "front-1"
MAX_BYTES = 64 << 10
CLOCKS_MS = (1_700_000_000_000, 1_600_000_000_000)  # the clock is set back before the second start


def write_incarnation(path):
    """Writes two starts of one process; returns their incarnations."""
    numbers = []
    for unix_ms in CLOCKS_MS:
        store = open_store(path, NAME, FLEET, MAX_BYTES)
        numbers.append(next_incarnation(store, unix_ms)[0])
        store.close()
    return numbers


def write_generations(path):
    """Writes several generations in two starts: sections added, replaced, deleted and empty."""
    store = open_store(path, NAME, FLEET, MAX_BYTES)
    for step in range(8):
        store.append({f"owner/ledger/record/{step}": bytes([step]) * 5 * step, "last": b"%d" % step})
        store.append({f"owner/ledger/record/{step - 3}": None, "empty": b""})
        (store.compact if step in (2, 5) else store.flush)(0.0)
    store.close()
    store = open_store(path, NAME, FLEET, MAX_BYTES)
    for step in range(3):
        store.append({"name with ü": b"\x00\xff%d" % step})
        store.flush(0.0)
    store.close()


def write_torn(path):
    """Writes the same as `write_generations`, and the first bytes of a record truncated by a power loss."""
    write_generations(path)
    newest = max(path.glob("*.journal"))
    with open(newest, "ab") as journal:
        journal.write(b"\x00\x00\x00\x20\x00\x00\x00")


HISTORIES = {"incarnation": write_incarnation, "generations": write_generations, "torn": write_torn}


def files_of(path):
    """Returns {name: bytes} of a folder."""
    return {file.name: file.read_bytes() for file in sorted(path.iterdir())}


def meaning_of(path):
    """Returns the state that the store reads from a folder, as plain data.

    Opening a store writes a new generation, so `path` should be a copy.
    """
    store = open_store(path, NAME, FLEET, MAX_BYTES)
    meaning = {
        "sections": {key: value.hex() for key, value in sorted(store.state.items())},
        "number": store.last_record_number,
        "generation": store.generation,
        "left_out": [line.partition(":")[0] for line in store.skipped_files],
        "left_bytes": store.skipped_bytes,
        "files": sorted(files_of(path)),
    }
    meaning["incarnation"] = next_incarnation(store, 1000)[0]
    store.close()
    return meaning
