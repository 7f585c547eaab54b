"""Folders packed as one file.

An image or a checkpoint is packed as a tar archive, so that file modes are kept and it is there whole or not
at all. What is unpacked can't leave its folder (tarfile's ``data`` filter).
"""

from __future__ import annotations

import os
import shutil
import tarfile
from pathlib import Path


class BadPackError(Exception):
    """Not a pack, or one that would write outside its folder; the text says which."""


def pack_folder(folder: Path, target: Path) -> int:
    """Pack the files of a folder and return the size in bytes.

    The files are packed in order of their names and without times and owners: the same files make the same
    bytes, so that what was pushed before is known by its digest.
    """

    def plain(info: tarfile.TarInfo) -> tarfile.TarInfo:
        info.uid = info.gid = info.mtime = 0
        info.uname = info.gname = ""
        return info

    beside = target.with_name(target.name + ".part")
    with tarfile.open(beside, "w", format=tarfile.PAX_FORMAT) as out:
        for path in sorted(folder.rglob("*")):
            if path.is_symlink() or path.is_file() or path.is_dir():
                out.add(path, path.relative_to(folder).as_posix(), recursive=False, filter=plain)
    size = beside.stat().st_size
    os.replace(beside, target)
    return size


def unpack_folder(pack: Path, folder: Path) -> int:
    """Unpack a pack into a folder and return the number of plain bytes.

    It is unpacked beside the folder and renamed: the folder is there whole or not at all. An older one is
    replaced. Raises BadPackError.
    """
    beside = folder.with_name(folder.name + ".part")
    shutil.rmtree(beside, ignore_errors=True)
    beside.mkdir(parents=True)
    try:
        with tarfile.open(pack) as source:
            _extract(source, beside)
    except (tarfile.TarError, OSError, ValueError) as err:
        shutil.rmtree(beside, ignore_errors=True)
        raise BadPackError(f"{pack.name}: {err}") from None
    if folder.exists():
        shutil.rmtree(folder)
    os.replace(beside, folder)
    return size_of(folder)


def _extract(source: tarfile.TarFile, folder: Path) -> None:
    """Unpack into a folder, with tarfile's ``data`` filter if it is there.

    Releases of Python 3.11 before 3.11.4 have no filter: there, names are checked here and links refused.
    """
    if hasattr(tarfile, "data_filter"):
        source.extractall(folder, filter="data")
        return
    for info in source.getmembers():
        parts = Path(info.name).parts
        if info.name.startswith("/") or ".." in parts or not (info.isfile() or info.isdir()):
            raise tarfile.TarError(f"{info.name!r} is not a plain file or folder below it")
    source.extractall(folder)


def size_of(folder: Path) -> int:
    """Bytes of all files below a folder."""
    return sum(p.lstat().st_size for p in folder.rglob("*") if p.is_file() and not p.is_symlink())
