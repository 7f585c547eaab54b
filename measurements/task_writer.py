"""What the tasks of ``archive_kills`` run: bytes that follow from job, task, attempt and stream, written in
pieces of any length, with a note of how much was written after each of them.
"""

import hashlib
import os
import random
import sys
import time

# The measurement replaces this line.
TOTALS, CODES = [], []  # type: ignore[var-annotated]


def text(name, begin, length):
    """Bytes of a stream that has no end."""
    first, last = begin // 64, (begin + length) // 64 + 1
    data = b"".join(hashlib.blake2b(name + b"%d" % i).digest() for i in range(first, last))
    return data[begin - first * 64 :][:length]


def main():
    job, task, attempt, truth = sys.argv[1:5]
    total, code = TOTALS[int(task)], CODES[int(task)]
    rng = random.Random(f"{job}/{task}/{attempt}")
    done = {1: 0, 2: 0}
    # An attempt whose agent died before it was reported may be started once more: each start has its own
    # notes.
    where = os.getcwd().split("/")
    names = {s: f"{truth}/{job}.{task}.{attempt}.{where[-5]}.{where[-2]}.{s}" for s in done}
    notes = {s: os.open(name, os.O_WRONLY | os.O_CREAT, 0o600) for s, name in names.items()}
    while done[1] + done[2] < total:
        stream = 1 if rng.random() < 0.8 else 2
        name = f"{job}/{task}/{attempt}/{stream}".encode()
        done[stream] += os.write(stream, text(name, done[stream], rng.randint(1, 8192)))
        os.pwrite(notes[stream], b"%12d" % done[stream], 0)
        if rng.random() < 0.2:
            time.sleep(rng.random() * 0.02)
    if code == 0:
        with open("out.bin", "wb") as out:
            out.write(text(f"{job}/{task}/{attempt}/file".encode(), 0, 10_000 + 10 * total))
    sys.exit(code)


if __name__ == "__main__":
    main()
