"""A job's description: what is scheduled, and what runs. People write YAML; workers read the same as JSON."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any

import msgspec
import yaml
from msgspec import Meta

from pearstep.protocol.controller_messages import Amount, Seconds

Text = Annotated[str, Meta(min_length=1, max_length=200)]
Kind = Annotated[str, Meta(pattern="^(array|gang|service)$")]
Priority = Annotated[str, Meta(pattern="^(critical|high|normal|low)$")]
Signal = Annotated[str, Meta(pattern="^(TERM|INT|USR1|USR2|HUP)$")]
EnvName = re.compile(r"^[A-Za-z_][A-Za-z0-9_]{0,127}$")
FileName = re.compile(r"^[A-Za-z0-9_.][A-Za-z0-9_.-]{0,99}$")
ImageName = re.compile(r"^img-[a-z0-9][a-z0-9._-]{0,60}(@[0-9a-f]{1,64})?$")
MOST_BYTES = 60 * 1024


class DescriptionError(Exception):
    """What is wrong with a description, and where; one line for the user."""


class Save(msgspec.Struct, forbid_unknown_fields=True):
    """How a running task saves when it is stopped.

    It gets the signal, writes to the folder that PEARSTEP_CHECKPOINT names, and ends with the code. ``whole``
    says that what is in that folder is of use at any moment, since the task writes files beside and renames
    them; then it is kept of a task that was killed, too.
    """

    signal: Signal = "TERM"
    code: Annotated[int, Meta(ge=1, le=255)] = 75
    whole: bool = False


class InputSet(msgspec.Struct, forbid_unknown_fields=True):
    """The published files of a job that is done, put below the folder ``to``.

    ``digest`` says which set: it is filled in when the job is submitted, so that all its tasks, whenever they
    start, see the same files.
    """

    ref: Annotated[str, Meta(pattern=r"^req-[0-9]{1,20}$")]
    to: Text
    digest: Annotated[str, Meta(pattern=r"^([0-9a-f]{64})?$")] = ""


class Run(msgspec.Struct, forbid_unknown_fields=True):
    """What a task runs.

    ``command`` is a program with its arguments, in which {job}, {task}, {tasks} and {attempt} are filled in.
    ``files`` are put beside it, by name; ``outputs`` are patterns of files, in the task's folder, that are
    kept when it is done.
    """

    command: Annotated[list[str], Meta(min_length=1, max_length=1000)]
    env: dict[str, str] = {}
    files: dict[str, str] = {}
    outputs: Annotated[list[Text], Meta(max_length=100)] = []
    save: Save | None = None
    inputs: Annotated[list[InputSet], Meta(max_length=100)] = []


class Image(msgspec.Struct, forbid_unknown_fields=True):
    """The image that a machine must have.

    One whose name begins with ``img-`` is in the archive, the latest or the ``@version`` that is named; its
    folder is told to the task as PEARSTEP_IMAGE.
    """

    name: Text = "none"
    size_gb: Amount = 0.0


class Description(msgspec.Struct, forbid_unknown_fields=True, rename={"cls": "class"}):
    """A job."""

    cls: Text
    team: Text
    run: Run
    kind: Kind = "array"
    priority: Priority = "normal"
    tasks: Annotated[int, Meta(ge=1, le=100_000)] = 1
    cpus: Amount = 1.0
    gpus: Amount = 0.0
    memory_gb: Amount = 0.5
    image: Image = msgspec.field(default_factory=Image)
    types: list[Text] | None = None
    zone: Text | None = None
    one_zone: bool = False
    spread: bool = False
    spot: bool = False
    estimate_s: Seconds = 60.0
    checkpoint_s: Seconds = 0.0
    save_s: Seconds = 5.0
    deadline_s: Seconds | None = None

    def submission(self, ref: str) -> dict[str, Any]:
        """The job as it is submitted to a controller, in the core's words."""
        return {
            "job_id": ref,
            "job_class": self.cls,
            "team": self.team,
            "kind": self.kind,
            "priority": self.priority,
            "tasks": self.tasks,
            "cpus": self.cpus,
            "gpus": self.gpus,
            "memory_gb": self.memory_gb,
            "image": self.image.name,
            "image_gb": self.image.size_gb,
            "types": self.types,
            "zone": self.zone,
            "one_zone": self.one_zone,
            "spread": self.spread,
            "spot": self.spot,
            "estimate_s": self.estimate_s,
            "checkpoint_s": self.checkpoint_s,
            "save_s": self.save_s,
            "deadline_s": self.deadline_s,
        }

    def argv(self, values: dict[str, str | int]) -> list[str]:
        """The command with its places filled in; other braces stay as they are."""

        def fill(text: str) -> str:
            return re.sub(r"\{(job|task|tasks|attempt)\}", lambda m: str(values[m.group(1)]), text)

        return [fill(arg) for arg in self.run.command]


def _line(node: yaml.Node | None, path: str) -> int:
    """The line of the field that a path like ``$.run.env[...]`` names, or of the nearest that is there."""
    line = node.start_mark.line + 1 if node is not None else 1
    for step in re.findall(r"\.([A-Za-z_]+)|\[(\d+|\.\.\.)\]", path):
        found: yaml.Node | None = None
        if isinstance(node, yaml.MappingNode) and step[0]:
            for key, value in node.value:
                if key.value == step[0]:
                    found, line = value, key.start_mark.line + 1
        elif isinstance(node, yaml.SequenceNode) and step[1].isdigit() and int(step[1]) < len(node.value):
            found = node.value[int(step[1])]
            line = found.start_mark.line + 1
        if found is None:
            break
        node = found
    return line


def _where(root: yaml.Node | None, err: msgspec.ValidationError) -> str:
    text = str(err)
    path = re.search(r"`(\$[^`]*)`$", text)
    line = _line(root, path.group(1)) if path else 1
    unknown = re.search(r"unknown field `(\w+)`", text)
    if unknown:
        # The message names the object; the line of the field itself is what helps.
        line = _line(root, (path.group(1) if path else "$") + "." + unknown.group(1))
    field = path.group(1)[2:] if path and len(path.group(1)) > 2 else ""
    said = text[: path.start()].rstrip().removesuffix("- at").rstrip() if path else text
    return f"line {line}: {field + ': ' if field else ''}{said}"


def parse(text: str, base: Path | None = None, name: str = "job") -> Description:
    """Read a description in YAML.

    Files named in a list under ``run.files`` are read from ``base``; a mapping holds them itself. Raises
    DescriptionError with line and field.
    """
    try:
        loader = yaml.SafeLoader(text)
        root = loader.get_single_node()
        raw = None if root is None else loader.construct_document(root)
    except yaml.YAMLError as err:
        raise DescriptionError(f"{name}: {' '.join(str(err).split())}") from None
    if not isinstance(raw, dict):
        raise DescriptionError(f"{name}: line 1: a description is a mapping with class, team and run")
    run = raw.get("run")
    if isinstance(run, dict):
        if isinstance(run.get("command"), str):
            run["command"] = ["/bin/sh", "-c", run["command"]]
        if isinstance(run.get("files"), list):
            run["files"] = _read_files(run["files"], base, name, _line(root, "$.run.files"))
        if isinstance(run.get("env"), dict):
            run["env"] = {str(k): str(v) for k, v in run["env"].items() if not isinstance(v, (dict, list))}
    try:
        out = msgspec.convert(raw, Description)
    except msgspec.ValidationError as err:
        raise DescriptionError(f"{name}: {_where(root, err)}") from None
    why = problem(out)
    if why:
        raise DescriptionError(f"{name}: line {_line(root, '$.' + why[0])}: {why[0]}: {why[1]}")
    return out


def _read_files(names: list[Any], base: Path | None, name: str, line: int) -> dict[str, str]:
    out = {}
    for item in names:
        path = (base or Path()) / str(item)
        try:
            out[path.name] = path.read_text()
        except (OSError, UnicodeDecodeError) as err:
            raise DescriptionError(f"{name}: line {line}: run.files: {item}: {err}") from None
    return out


def problem(job: Description) -> tuple[str, str] | None:
    """What the types alone do not tell: (field, what is wrong), or None."""
    bad_run = _run_problem(job.run)
    if bad_run is not None:
        return bad_run
    if job.image.name.startswith("img-") and not ImageName.match(job.image.name):
        return "image.name", f"{job.image.name!r} is not img-NAME or img-NAME@VERSION"
    if job.kind == "gang" and job.run.save is not None and job.run.save.whole:
        return "run.save", "a gang's tasks save together when they are stopped; `whole` is for arrays"
    if job.kind == "gang" and job.tasks > 1 and job.run.save is None and job.checkpoint_s > 0:
        return "run.save", "a gang with checkpoint_s must say how it saves"
    if len(msgspec.json.encode(job)) > MOST_BYTES:
        return "run.files", f"the description has over {MOST_BYTES} bytes; keep large inputs elsewhere"
    return None


def _run_problem(run: Run) -> tuple[str, str] | None:
    for key in run.env:
        if not EnvName.match(key) or key.startswith("PEARSTEP_"):
            return "run.env", f"{key!r} is not a name that can be set"
    for key in run.files:
        if not FileName.match(key) or key in (".", ".."):
            return "run.files", f"{key!r} is not a plain file name"
    for one in run.inputs:
        if one.to.startswith("/") or any(part in ("", ".", "..") for part in one.to.split("/")):
            return "run.inputs", f"{one.to!r} is not a folder below the task's own"
    if len({one.to for one in run.inputs}) < len(run.inputs):
        return "run.inputs", "two inputs have the same folder"
    for pattern in run.outputs:
        if pattern.startswith("/") or ".." in pattern.split("/"):
            return "run.outputs", f"{pattern!r} leaves the task's folder"
    return None


def home_name(job: str) -> str:
    """A job's id as its user knows it: one that a peer lent has another id here."""
    lent = re.fullmatch(r"lent-.+-([0-9]{1,20})-[0-9]+", job)
    return f"req-{lent[1]}" if lent else job


def encode(job: Description) -> bytes:
    """What is uploaded."""
    return msgspec.json.encode(job)


def decode(body: bytes) -> Description:
    """What a worker reads; raises DescriptionError."""
    try:
        job = msgspec.json.decode(body, type=Description)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise DescriptionError(str(err)) from None
    why = problem(job)
    if why:
        raise DescriptionError(f"{why[0]}: {why[1]}")
    return job
