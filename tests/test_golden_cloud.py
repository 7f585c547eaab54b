"""Messages between controllers and the cloud, and answers of its emulator, match the golden files."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from pearstep.emulator.cloud import Cloud, MachineKind
from pearstep.protocol import controller_messages as wire
from pearstep.protocol import emulator_messages as emulator_wire
from tests.golden import files

LARGE_TYPE = dict(
    name="g8",
    cpus=96.0,
    gpus=8.0,
    memory_gb=384.5,
    cache_gb=100.0,
    fetch_gb_per_s=1.5,
    price=29.0,
    spot_price=12.0,
    boot_us=50_500_000,
    zones=["north", "south"],
)
MACHINE_TYPES = {
    "types_all": {"g8": LARGE_TYPE},
    "types_required": {
        "small": LARGE_TYPE
        | dict(
            name="small",
            cpus=32.0,
            gpus=0.0,
            memory_gb=128.0,
            cache_gb=0.0,
            fetch_gb_per_s=0.0,
            price=0.0,
            spot_price=0.0,
            boot_us=0,
            zones=[],
        )
    },
    "types_none": {},
}
LISTED_MACHINE = dict(
    name="i-1", type="g8", zone="north", state="running", spot=True, address="10.0.0.1:9000", age_s=7.5
)
MACHINE_PAGES = {
    "machines_all": dict(machines=[LISTED_MACHINE], more=True),
    "machines_required": dict(
        machines=[LISTED_MACHINE | dict(spot=False, address="", age_s=0.0)], more=False
    ),
    "machines_none": dict(machines=[], more=False),
}
INSTANCE_ANSWERS = {"hired": ["i-1", "i-2"], "hired_none": []}
OTHER_FILES = {"hire", "delete", "paths", "exchanges", "emulator_kind_all", "emulator_kind_required"}
EXCHANGES = files.table("cloud/exchanges.json")


def test_every_golden_file_of_the_area_is_covered():
    names = {*MACHINE_TYPES, *MACHINE_PAGES, *INSTANCE_ANSWERS, *OTHER_FILES}
    assert files.names("cloud") == {f"cloud/{name}.json" for name in names}


@pytest.mark.parametrize("name", MACHINE_TYPES)
def test_machine_types_are_decoded_as_in_the_golden_files(name):
    assert files.fields(wire.decode_machine_types(files.read(f"cloud/{name}.json"))) == MACHINE_TYPES[name]


@pytest.mark.parametrize("name", ["types_all", "types_none"])
def test_machine_types_are_encoded_as_in_the_golden_files(name):
    body = files.read(f"cloud/{name}.json")
    assert msgspec.json.encode(msgspec.json.decode(body, type=wire.MachineTypeList)) == body


@pytest.mark.parametrize("name", MACHINE_PAGES)
def test_machine_pages_are_decoded_and_encoded_as_in_the_golden_files(name):
    body = files.read(f"cloud/{name}.json")
    page = msgspec.json.decode(body, type=wire.MachineList)
    assert files.fields(page) == MACHINE_PAGES[name]
    if name != "machines_required":
        rows = [
            (
                machine.name,
                machine.address,
                machine.type,
                machine.zone,
                machine.spot,
                machine.state,
                machine.age_s,
            )
            for machine in page.machines
        ]
        assert emulator_wire.encode_machine_page(rows, page.more) == body


@pytest.mark.parametrize("name", INSTANCE_ANSWERS)
def test_answers_to_instance_requests_are_decoded_and_encoded_as_in_the_golden_files(name):
    body = files.read(f"cloud/{name}.json")
    assert files.fields(msgspec.json.decode(body, type=wire.InstanceRequestAnswer)) == {
        "machines": INSTANCE_ANSWERS[name]
    }
    assert emulator_wire.encode_instance_names(INSTANCE_ANSWERS[name]) == body


def test_requests_are_encoded_and_decoded_as_in_the_golden_files():
    instance_request, deletion_request = files.read("cloud/hire.json"), files.read("cloud/delete.json")
    assert wire.encode_instance_request("n0-12-1", "g8", "north", True, 3) == instance_request
    expected = dict(name="n0-12-1", type="g8", zone="north", spot=True, count=3)
    assert files.fields(emulator_wire.decode_instance_request(instance_request)) == expected
    assert wire.encode_delete_machines(["i-1", "i-2"]) == deletion_request
    assert files.fields(emulator_wire.decode_deletion_request(deletion_request)) == {
        "machines": ["i-1", "i-2"]
    }


def test_paths_are_as_in_the_golden_file():
    assert files.table("cloud/paths.json") == {
        "types": wire.MACHINE_TYPES_PATH,
        "machines": wire.MACHINES_PATH,
        "delete": wire.DELETE_MACHINES_PATH,
        "first page": wire.machine_page_path(None),
        "next page": wire.machine_page_path("i-1"),
    }


# -- the emulator ----------------------------------------------------------------------------------

EXHAUSTED_LIMITER = SimpleNamespace(try_acquire=lambda *amount: False)

KIND = dict(
    name="g8",
    cpus=96.0,
    memory_gb=384.5,
    gpus=8.0,
    price=30.0,
    boot_s=1.5,
    max_instances=2,
    zones=["north", "south"],
)
MINIMAL_KIND = dict(
    name="small", cpus=32.0, memory_gb=128.0, gpus=0.0, price=1.0, boot_s=0.5, max_instances=4, zones=["a"]
)


@pytest.mark.parametrize(
    "name, values", [("emulator_kind_all", KIND), ("emulator_kind_required", MINIMAL_KIND)]
)
def test_machine_kinds_of_the_emulator_are_decoded_as_in_the_golden_files(name, values):
    body = files.read(f"cloud/{name}.json")
    kind = msgspec.json.decode(body, type=MachineKind)
    assert files.fields(kind) == values
    assert name != "emulator_kind_all" or msgspec.json.encode(kind) == body


def make_cloud(folder):
    names = ("emulator_kind_all", "emulator_kind_required")
    kinds = [msgspec.json.decode(files.read(f"cloud/{name}.json"), type=MachineKind) for name in names]
    return Cloud(folder, kinds, {}, 100.0, 0.0)


def test_emulator_answers_as_in_the_golden_file(tmp_path):
    """One emulator answers all: a repeated instance request gets the first answer, and capacity runs out."""
    cloud = make_cloud(tmp_path)
    for name, golden in EXCHANGES.items():
        if name == "too many requests":
            cloud.requests = EXHAUSTED_LIMITER
        arguments = (argument.partition("=") for argument in golden["query"].split("&") if argument)
        request = SimpleNamespace(
            method=golden["method"],
            path=golden["path"],
            body=golden["body"].encode(),
            arguments={argument: [value.encode()] for argument, _, value in arguments},
        )
        status, body, headers = asyncio.run(cloud.handle(request))
        assert (status, body.decode(), headers) == (golden["status"], golden["answer"], golden["headers"]), (
            name
        )
