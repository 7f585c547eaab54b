"""Settings files in their released form: the loaded values, the values derived from them, and the error text
for each invalid file.
"""

import pytest

from pearstep.archive import settings as archive_settings
from pearstep.controller import settings as node_settings
from pearstep.federation import settings as federation_settings
from pearstep.history import settings as history_settings
from pearstep.worker import settings as worker_settings
from tests.golden import files

# fmt: off
PLATFORM = dict(node="node-1", bind="10.0.0.2:8080", endpoints=dict(cloud="10.0.1.1:80",
    state="10.0.1.2:2379"), params=dict(nodes=3, zones=["north", "south"], workers=dict(report_s=2.5,
    lease_s=16.0, gang_wait_s=31.0, gang_peer_s=8.5, cancel_s=40.0), state=dict(rps=100.0, write_rps=40.0,
    value_kb=16.0, txn_ops=12), cloud=dict(rps=4.0, list_lag_s=5.5), teams=[dict(name="vision", cpus=64.0,
    cpus_max=128.0, gpus=4.0, gpus_max=8.0), dict(name="dev", cpus=0.0, cpus_max=0.0, gpus=0.0,
    gpus_max=0.0)], objectives=[dict(kind="wait", within_s=30.0, share=0.9, cls="train"),
    dict(kind="wait", within_s=10.5, share=0.5, cls="train"), dict(kind="wait", within_s=600.0,
    share=0.99, cls="batch"), dict(kind="guarantee", within_s=45.0, share=0.0, cls=""),
    dict(kind="finish", within_s=0.0, share=0.0, cls="")], resources=dict(cpu=0.5, ram_mb=128.0,
    fd_limit=512), skew_ms=12.5), location="south", mesh_addr="10.0.0.2:7080", others=[dict(node="node-0",
    peer_addr="10.0.0.1:7080", location="north"), dict(node="node-2", peer_addr="10.0.0.3:7080",
    location="north")])
PLATFORM_REQUIRED = dict(node="n0", bind="127.0.0.1:1", endpoints=dict(cloud="127.0.0.1:2",
    state="127.0.0.1:3"), params=dict(nodes=1, zones=["a"], workers=dict(report_s=2.0, lease_s=16.0,
    gang_wait_s=30.0, gang_peer_s=8.0, cancel_s=40.0), state=dict(rps=100.0, write_rps=40.0,
    value_kb=16.0, txn_ops=64), cloud=dict(rps=4.0, list_lag_s=5.0), teams=[], objectives=[],
    resources=dict(cpu=1.0, ram_mb=256.0, fd_limit=1_024), skew_ms=0.0), location="", mesh_addr="",
    others=[])
TUNING = dict(deployments=[], backfilling=dict(bounds_s=[90.0, 900.0, 9000.5], initial_delay_s=21.0,
    batch=101, threshold=0.26, overrun=0.27, backlog=13, spare_s=4.5, urgent_s=20.0, begin_s=241.0),
    renting=dict(idle_s=41.0, most_at_once=49, most_machines=4_999, settle_s=2.5, refused_s=16.0,
    boot_factor=3.5, boot_margin_s=15.5, patience=1.5, move_s=4.5, dearest=8.0),
    guarding=dict(silent_s=11.0, sick_errors=4, suspect_machines=5, retry_after_s=6),
    leading=dict(lease_s=6.5, takeover_s=3.5, step_ms=51.0, follow_ms=121.0, refresh_ms=151.0,
    parts_within_zones=False, pace=40.0, longest_rest_ms=1001.0))
TUNING_DEFAULTS = dict(deployments=[], backfilling=dict(bounds_s=[100.0, 1000.0, 10000.0],
    initial_delay_s=20.0, batch=100, threshold=0.25, overrun=0.25, backlog=12, spare_s=4.0,
    urgent_s=100.0, begin_s=240.0), renting=dict(idle_s=40.0, most_at_once=50, most_machines=5_000,
    settle_s=2.0, refused_s=15.0, boot_factor=3.0, boot_margin_s=15.0, patience=1.0, move_s=4.0,
    dearest=0.0), guarding=dict(silent_s=10.0, sick_errors=2, suspect_machines=3, retry_after_s=1),
    leading=dict(lease_s=6.0, takeover_s=3.0, step_ms=50.0, follow_ms=120.0, refresh_ms=150.0,
    parts_within_zones=True, pace=39.0, longest_rest_ms=1000.0))
TUNING_HERE = dict(deployments=[], backfilling=dict(bounds_s=[100.0, 1000.0, 10000.0],
    initial_delay_s=20.0, batch=7, threshold=0.25, overrun=0.25, backlog=12, spare_s=4.0, urgent_s=100.0,
    begin_s=240.0), renting=dict(idle_s=25.0, most_at_once=50, most_machines=5_000, settle_s=2.0,
    refused_s=15.0, boot_factor=3.0, boot_margin_s=15.0, patience=0.5, move_s=4.0, dearest=3.0),
    guarding=dict(silent_s=9.0, sick_errors=2, suspect_machines=3, retry_after_s=1),
    leading=dict(lease_s=6.0, takeover_s=3.0, step_ms=50.0, follow_ms=120.0, refresh_ms=150.0,
    parts_within_zones=True, pace=79.0, longest_rest_ms=1000.0))
DERIVED = dict(node="node-1", nodes=["node-0", "node-1", "node-2"], shard_count=3, home_shard=1,
    shard_zones=["north", "south", "north"], teams={"vision": dict(name="vision", cpus=64.0, cpus_max=128.0,
    gpus=4.0, gpus_max=8.0), "dev": dict(name="dev", cpus=0.0, cpus_max=0.0, gpus=0.0, gpus_max=0.0)},
    start_objectives={"train": [10_500_000, 30_000_000], "batch": [600_000_000]},
    guaranteed_start_us=45_000_000, urgent_classes=["train"], txn_ops=12, lease_us=16_000_000,
    heartbeat_interval_us=2_500_000, cancel_us=40_000_000, timeouts=dict(lease_us=6_250_000,
    takeover_us=3_125_000, cross_zone_takeover_us=3_125_000, silent_us=11_000_000,
    process_pause_us=2_000_000, peer_agreement_us=2_000_000, redirect_us=4_000_000, failover_us=11_275_000,
    max_staleness_us=22_960_000, watch_timeout_us=5_740_000, cancellation_delay_us=0))
DERIVED_REQUIRED = dict(node="n0", nodes=["n0"], shard_count=1, home_shard=0, shard_zones=[], teams={},
    start_objectives={}, guaranteed_start_us=0, urgent_classes=[], txn_ops=40, lease_us=16_000_000,
    heartbeat_interval_us=2_000_000, cancel_us=40_000_000, timeouts=dict(lease_us=6_000_000,
    takeover_us=3_000_000, cross_zone_takeover_us=3_000_000, silent_us=10_000_000,
    process_pause_us=2_000_000, peer_agreement_us=2_000_000, redirect_us=4_000_000, failover_us=10_900_000,
    max_staleness_us=22_960_000, watch_timeout_us=5_740_000, cancellation_delay_us=0))
OWNER = dict(shard_count=3, zone="south", lease_us=16_000_000, report_us=2_500_000, cancel_us=40_000_000,
    queue_bounds_us=[90_000_000, 900_000_000, 9_000_500_000], initial_delay_us=21_000_000,
    delay_batch_size=101, delay_threshold=0.26, overrun_share=0.27, machine_silence_us=11_000_000,
    faulty_machine_errors=4, suspect_machines=5, value_bytes=16_384, txn_ops=12, txn_conditions=48,
    urgent_classes=["train"], start_objectives={"train": [10_500_000, 30_000_000], "batch": [600_000_000]},
    accelerator_penalty_us=4_500_000, first_start_within_us=241_000_000, shards_within_zones=True)
OWNER_REQUIRED = dict(shard_count=1, zone="", lease_us=16_000_000, report_us=2_000_000,
    cancel_us=40_000_000, queue_bounds_us=[100_000_000, 1_000_000_000, 10_000_000_000],
    initial_delay_us=20_000_000, delay_batch_size=100, delay_threshold=0.25, overrun_share=0.25,
    machine_silence_us=10_000_000, faulty_machine_errors=2, suspect_machines=3, value_bytes=16_384,
    txn_ops=40, txn_conditions=256, urgent_classes=[], start_objectives={},
    accelerator_penalty_us=4_000_000, first_start_within_us=240_000_000, shards_within_zones=False)
SERVICES = {
    "worker_all": (worker_settings, dict(machine="i-1", bind="10.0.0.1:9000",
        directory="/var/lib/pearstep/worker", nodes={"node-0": "10.0.0.2:8080", "node-1":
        "10.0.0.3:8080"}, type="g8", zone="north", spot=True, cpus=96.0, gpus=8.0, memory_gb=384.5,
        archives=["10.0.0.4:9100", "10.0.0.5:9100"], checkpoints="/mnt/checkpoints", report_s=2.5,
        lease_s=16.0, gang_wait_s=31.0, gang_peer_s=4.5, ship_ms=201.0, chunk_kb=255.0, spool_mb=511.0,
        hold_s=6.0, keep_s=7.0, images_gb=21.0)),
    "worker_required": (worker_settings, dict(machine="i-1", bind="10.0.0.1:9000", directory="work",
        nodes={"node-0": "10.0.0.2:8080"}, type="small", zone="", spot=False, cpus=1.0, gpus=0.0,
        memory_gb=1.0, archives=[], checkpoints="", report_s=2.0, lease_s=15.0, gang_wait_s=30.0,
        gang_peer_s=4.0, ship_ms=200.0, chunk_kb=256.0, spool_mb=512.0, hold_s=5.0, keep_s=5.0,
        images_gb=20.0)),
    "archive_all": (archive_settings, dict(name="archive-0", bind="10.0.0.4:9100",
        directory="/var/lib/pearstep/archive", state="10.0.1.2:2379", copies=3, durable_on=2,
        segment_mb=65.0, reserve_mb=257.0, quotas_mb={"vision": 1000.0, "dev": 10.5},
        retention=dict(default_days=400.0, classes={"train": 30.0, "batch": 0.5, "forever": 0.0},
        record_days=366.0), lost_after_s=31.0, lease_s=6.5, patience_s=11.0, repair_mb_per_s=21.0,
        repair_pause_s=5.5, upkeep_pause_s=2.5, most_artefact_mb=4097.0, state_rps=9.0,
        state_write_rps=3.0)),
    "archive_required": (archive_settings, dict(name="archive-0", bind="10.0.0.4:9100",
        directory="archive", state="", copies=1, durable_on=1, segment_mb=64.0, reserve_mb=256.0,
        quotas_mb={}, retention=dict(default_days=0.0, classes={}, record_days=365.0), lost_after_s=30.0,
        lease_s=6.0, patience_s=10.0, repair_mb_per_s=20.0, repair_pause_s=5.0, upkeep_pause_s=2.0,
        most_artefact_mb=4096.0, state_rps=8.0, state_write_rps=2.0)),
    "federation_all": (federation_settings, dict(keys="/etc/pearstep/keys", binds={"node-0":
        "10.0.0.1:7101", "node-1": "10.0.0.2:7101"}, archives=["10.0.0.4:9100"],
        patience=dict(suspect_s=3.5, cut_s=16.0, gone_s=3601.0, rest_s=6.0),
        leaving=dict(classes=["train", "batch"], keep_classes=["service"], keep_teams=["vision"],
        wait_s=11.0, aim_s=31.0, gain=0.3, least_gain_s=5.5, most_price=2.5, terms_s={"batch": 60.0},
        most_under_way=33, most_returns=4), reserve_s=31.0, offer_s=11.0, yield_s=2.5, idle_s=21.0,
        margin_s=5.5, step_s=0.5, lend_s=1.5)),
    "federation_required": (federation_settings, dict(keys="keys", binds={"node-0": "127.0.0.1:7101"},
        archives=[], patience=dict(suspect_s=3.0, cut_s=15.0, gone_s=3600.0, rest_s=5.0),
        leaving=dict(classes=[], keep_classes=[], keep_teams=[], wait_s=10.0, aim_s=30.0, gain=0.25,
        least_gain_s=5.0, most_price=2.0, terms_s={}, most_under_way=32, most_returns=3), reserve_s=30.0,
        offer_s=10.0, yield_s=2.0, idle_s=20.0, margin_s=5.0, step_s=0.25, lend_s=1.0)),
    "history_all": (history_settings, dict(rest_s=61.0, keep=2_001, batch=1_001, share=0.2,
        kept_blocks=17, most_waiting=33, step_s=0.5)),
    "history_required": (history_settings, dict(rest_s=60.0, keep=2_000, batch=1_000, share=0.1,
        kept_blocks=16, most_waiting=32, step_s=0.25)),
}
POLICY = dict(classes=["batch", "train"], excluded_classes=["service"], excluded_teams=["vision"],
    min_gain_share=0.3, min_gain_us=5_500_000, max_price=2.5, price_penalty_us=30_000_000,
    max_open_offers=33, max_returns=4, max_offers_in_pass=256)
# fmt: on
RULES = [("batch", 43_200_000_000), ("train", 2_592_000_000_000), ("", 34_560_000_000_000)]
NODES = {
    "whole": ("platform_all.toml", "operators_all.yaml"),
    "deployment": ("platform_all.toml", "operators_deployments.yaml"),
    "required": ("platform_required.toml", None),
}
REFUSALS = files.table("settings/refusals.json")
ERRORS = (
    node_settings.SettingsError,
    worker_settings.WorkerError,
    archive_settings.ArchiveError,
    federation_settings.FederationError,
    history_settings.HistorySettingsError,
)


def load(name):
    platform, tuning = NODES[name]
    tuning = None if tuning is None else str(files.path(f"settings/{tuning}"))
    return node_settings.load(str(files.path(f"settings/{platform}")), tuning)


def test_every_golden_settings_file_is_tested():
    names = {name for pair in NODES.values() for name in pair if name} | {"refusals.json"}
    names |= {f"{name}.yaml" for name in SERVICES}
    assert files.names("settings") == {f"settings/{name}" for name in names}


@pytest.mark.parametrize(
    "name, platform, tuning",
    [
        ("whole", PLATFORM, TUNING),
        ("deployment", PLATFORM, TUNING_HERE),
        ("required", PLATFORM_REQUIRED, TUNING_DEFAULTS),
    ],
)
def test_controller_settings_files_load_with_these_values(name, platform, tuning):
    loaded = load(name)
    assert files.fields(loaded.platform) == platform
    assert files.fields(loaded.tuning) == tuning


@pytest.mark.parametrize(
    "name, derived, owner", [("whole", DERIVED, OWNER), ("required", DERIVED_REQUIRED, OWNER_REQUIRED)]
)
def test_values_derived_from_controller_settings_are_unchanged(name, derived, owner):
    loaded = load(name)
    assert files.fields({name: getattr(loaded, name) for name in derived}) == derived
    assert files.fields(vars(node_settings.owner_config(loaded))) == owner


def test_tuning_file_named_in_the_environment_is_loaded(monkeypatch):
    monkeypatch.setenv("PEARSTEP_TUNING", str(files.path("settings/operators_all.yaml")))
    assert files.fields(load("required").tuning) == TUNING


@pytest.mark.parametrize("name", SERVICES)
def test_settings_files_of_other_processes_load_with_these_values(name):
    module, values = SERVICES[name]
    assert files.fields(module.load(str(files.path(f"settings/{name}.yaml")))) == values


def test_values_derived_from_settings_of_other_processes_are_unchanged():
    archive = archive_settings.load(str(files.path("settings/archive_all.yaml")))
    assert archive.retention.rules() == RULES
    federation = federation_settings.load(str(files.path("settings/federation_all.yaml")))
    assert files.fields(federation.leaving.policy()) == POLICY


LOADERS = {
    "platform": lambda file: node_settings.load(file, None),
    "operators": lambda file: node_settings.load(str(files.path("settings/platform_required.toml")), file),
    "worker": worker_settings.load,
    "archive": archive_settings.load,
    "federation": federation_settings.load,
    "history": history_settings.load,
}


@pytest.mark.parametrize("name", REFUSALS)
def test_invalid_settings_are_rejected_with_the_same_text(name, tmp_path):
    kind, text, expected_error = (REFUSALS[name][part] for part in ("kind", "text", "why"))
    file = tmp_path / "file"
    file.write_text(text)
    with pytest.raises(ERRORS) as raised:
        LOADERS[kind](str(file))
    assert str(raised.value).replace(str(tmp_path), "FOLDER") == expected_error
