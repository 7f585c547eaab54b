"""A cluster on one machine: its file, and the settings that its processes are started with."""

import pytest

from pearstep.archive import settings as archive_settings
from pearstep.controller import settings as node_settings
from pearstep.federation import settings as federation_settings
from pearstep.history import settings as history_settings
from pearstep.local import layout
from tests.golden import files

CLUSTER = dict(
    nodes={"node-0": "127.0.0.1:20000", "node-1": "127.0.0.1:20001"},
    mesh={"node-0": "127.0.0.1:20002", "node-1": "127.0.0.1:20003"},
    archives={"archive-0": "127.0.0.1:20004", "archive-1": "127.0.0.1:20005"},
    state="127.0.0.1:20006",
    cloud="127.0.0.1:20007",
    copies=2,
    durable_on=1,
    teams=[
        dict(name="vision", cpus=4.5, cpus_max=8.5, gpus=1.5, gpus_max=2.5),
        dict(name="dev", cpus=0.0, cpus_max=0.0, gpus=0.0, gpus_max=0.0),
    ],
    machines=[
        dict(
            name="g8",
            cpus=9.5,
            memory_gb=38.5,
            gpus=8.5,
            price=30.5,
            boot_s=1.5,
            max_instances=2,
            zones=["north", "south"],
        )
    ],
    archive={"reserve_mb": 1},
    worker={"hold_s": 1},
    site="here",
    links={"node-0": "127.0.0.1:20008", "node-1": "127.0.0.1:20009"},
    federation={"idle_s": 3},
    history={"keep": 5},
)
REQUIRED = dict(
    nodes={"node-0": "127.0.0.1:20000"},
    mesh={"node-0": "127.0.0.1:20002"},
    archives={"archive-0": "127.0.0.1:20004"},
    state="127.0.0.1:20006",
    cloud="127.0.0.1:20007",
    copies=1,
    durable_on=1,
    teams=[],
    machines=[],
    archive={},
    worker={},
    site="",
    links={},
    federation={},
    history={},
)
# Files of the cluster with all fields; the folder of the cluster stands as FOLDER in them.
PROCESSES = [
    "node-0.toml",
    "node-1.toml",
    "archive-0.yaml",
    "archive-1.yaml",
    "history.yaml",
    "federation.yaml",
    "cloud.yaml",
    "state.yaml",
]


def place(tmp_path, name):
    (tmp_path / layout.CLUSTER).write_bytes(files.read(f"local/{name}.yaml"))
    return layout.load(tmp_path)


def test_every_file_of_the_area_is_looked_at():
    names = {"cluster_all.yaml", "cluster_required.yaml", *(f"conf/{name}" for name in PROCESSES)}
    assert files.names("local") == {f"local/{name}" for name in names}


@pytest.mark.parametrize("name, values", [("cluster_all", CLUSTER), ("cluster_required", REQUIRED)])
def test_a_clusters_file_has_these_values(name, values, tmp_path):
    assert files.fields(place(tmp_path, name)) == values


def test_a_clusters_file_is_written_as_it_was(tmp_path):
    layout.save(tmp_path, place(tmp_path, "cluster_all"))
    assert (tmp_path / layout.CLUSTER).read_bytes() == files.read("local/cluster_all.yaml")


def test_the_processes_files_are_written_as_they_were(tmp_path):
    layout.write_settings(tmp_path, place(tmp_path, "cluster_all"))
    written = {file.name: file.read_text() for file in (tmp_path / "conf").iterdir()}
    assert sorted(written) == sorted(PROCESSES)
    for name, text in written.items():
        golden = files.read(f"local/conf/{name}").decode()
        assert text.replace(str(tmp_path.resolve()), "FOLDER") == golden, name


def test_the_processes_read_them():
    def conf(name):
        return str(files.path(f"local/conf/{name}"))

    node = node_settings.load(conf("node-1.toml"), None)
    assert (node.node, node.nodes, node.lease_us) == ("node-1", ["node-0", "node-1"], 10_000_000)
    assert files.fields(node.teams["vision"]) == CLUSTER["teams"][0]
    archive = archive_settings.load(conf("archive-1.yaml"))
    assert (archive.name, archive.reserve_mb, archive.directory) == ("archive-1", 1.0, "FOLDER/archive-1")
    assert history_settings.load(conf("history.yaml")).keep == 5
    assert federation_settings.load(conf("federation.yaml")).idle_s == 3.0


def test_a_missing_or_wrong_file_is_refused(tmp_path):
    with pytest.raises(layout.LayoutError):
        layout.load(tmp_path)
    (tmp_path / layout.CLUSTER).write_text(files.read("local/cluster_all.yaml").decode() + "no_such: 1\n")
    with pytest.raises(layout.LayoutError, match="unknown field `no_such`"):
        layout.load(tmp_path)
