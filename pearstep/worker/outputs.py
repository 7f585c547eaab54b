"""Which files of a task's folder are kept.

These are the regular files below it that match the description's patterns. Links are left out, since what
they point to may lie outside or change; so are names that the archive would refuse.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path, PurePosixPath

from pearstep.archive.messages import MOST_ARTEFACTS, bad_name


def collect(root: Path, patterns: Iterable[str]) -> tuple[list[str], list[tuple[str, str]]]:
    """Names of files to keep, sorted, and what was left out with the reason."""
    patterns = list(patterns)
    keep: list[str] = []
    left: list[tuple[str, str]] = []
    if not patterns:
        return keep, left
    for folder, folders, files in os.walk(root, followlinks=False):
        for name in [*files, *(f for f in folders if (Path(folder) / f).is_symlink())]:
            path = Path(folder) / name
            relative = path.relative_to(root).as_posix()
            if not any(_matches(relative, p) for p in patterns):
                continue
            if path.is_symlink():
                left.append((relative, "a link"))
            elif not path.is_file():
                left.append((relative, "not a regular file"))
            elif bad_name(relative):
                left.append((repr(relative), bad_name(relative)))
            else:
                keep.append(relative)
    keep.sort()
    left += [(name, "more than the archive takes") for name in keep[MOST_ARTEFACTS:]]
    return keep[:MOST_ARTEFACTS], left


def _matches(name: str, pattern: str) -> bool:
    """Shell patterns; '**' at the end or in front stands for any folders."""
    path = PurePosixPath(name)
    if pattern.endswith("/**"):
        return name.startswith(pattern[:-2])
    if pattern.startswith("**/"):
        return path.match(pattern[3:])
    return len(path.parts) == len(PurePosixPath(pattern).parts) and path.match(pattern)
