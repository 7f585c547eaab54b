"""Assemble a controller: serve requests, run the loops, and request passes when records change.

``ReplicaFollower`` follows the state service, ``LeaseManager`` manages shards and the leadership, and
``ShardLoop`` and ``LeaderLoop`` act on them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from tornado.httputil import HTTPServerRequest

from pearstep.controller.agent_gateway import AgentGateway
from pearstep.controller.cloud_client import CloudClient
from pearstep.controller.extension import Extension
from pearstep.controller.health_monitor import HealthMonitor, HealthMonitorDependencies
from pearstep.controller.job_api import JobApi
from pearstep.controller.leader_loop import LeaderLoop
from pearstep.controller.leadership import Leadership
from pearstep.controller.lease_manager import LeaseManager, LeaseManagerDependencies
from pearstep.controller.peers import PeerClient
from pearstep.controller.replica_follower import ReplicaFollower
from pearstep.controller.settings import Settings, address, owner_config
from pearstep.controller.shard_loop import ShardLoop
from pearstep.controller.start_permission import StartPermission
from pearstep.domain.machine_type import MachineType
from pearstep.protocol import controller_messages as wire
from pearstep.shard.owner import ShardOwner
from pearstep.state.quota_guarantee import QuotaGuarantees
from pearstep.state.replica import Replica
from pearstep.transport.clock import now_us, wall_us
from pearstep.transport.event_log import EventLogger
from pearstep.transport.http import Answer, Client, Handler, Server
from pearstep.transport.kv_client import KeyValueStore
from pearstep.transport.rate_limiter import RateLimiter

log = EventLogger("pearstep.controller")

# The limit of open connections is the file descriptor limit divided by the second value, at least the first.
MIN_CONNECTIONS = 50
DESCRIPTORS_PER_CONNECTION = 4
# Rates at which a controller may use the state service, as multiples of its share.
KV_REQUEST_RATE_FACTOR = 1.2
KV_WRITE_RATE_FACTOR = 1.25
# The leader sends nearly all cloud requests. The cloud allows bursts of two seconds' worth of requests.
CLOUD_RATE_SHARE = 0.75
# Kinds of keys: the part before the first slash (``pearstep.state.records``).
JOB_KIND, ROUTE_KIND, PLACEMENT_KIND, MACHINE_KIND, DRAIN_KIND = "j", "r", "p", "m", "d"
# Pause before a failed loop is run again.
FAILED_LOOP_PAUSE_S = 0.5


class Controller:
    """One controller of a cluster."""

    def __init__(
        self,
        settings: Settings,
        extension: Extension | None = None,
        client: Client | None = None,
        server: Callable[[Handler], Server] = Server,
    ) -> None:
        """Build a controller; nothing is read or served before ``run``.

        Args:
            settings: The settings of the node.
            extension: Additional features, such as the federation.
            client: The client for outgoing connections; by default it uses sockets.
            server: Builds a server for a handler; by default it listens on sockets.
        """
        self.settings = settings
        self.extension = extension
        self.node = settings.node
        self._server = server
        self._missing_history_logged = False
        client = client or _open_client(settings)
        self.kv = _open_kv(settings, client)
        self.cloud = _open_cloud(settings, client)
        self.replica = Replica()
        self.replica.quota_guarantees = QuotaGuarantees(settings.teams, settings.guaranteed_start_us)
        self.machine_types: dict[str, MachineType] = {}
        self.owners: dict[int, ShardOwner] = {}
        self.shard_pass_requested = asyncio.Event()
        self.leader_pass_requested = asyncio.Event()
        self.follower = ReplicaFollower(
            self.kv, self.replica, settings.tuning.leading, self._on_record_changed, self._on_holders_changed
        )
        self.follower.watch_timeout_ms = settings.timeouts.watch_timeout_us // 1000
        self.job_api = self._build_job_api()
        self.agents = self._build_agent_gateway(client)
        self.peers = PeerClient(client, {other.node: other.peer_addr for other in settings.platform.others})
        if self.peers.peers:
            self.job_api.broadcast_cancellation = self.peers.broadcast_cancellation
        self.health = self._build_health_monitor()
        self.leases = self._build_lease_manager()
        self.agents.may_act = self.leases.may_act
        self.agents.kv_unavailable = self._kv_unavailable
        self.agents.start_permission = StartPermission(
            self.health.staleness_bound, self.follower.read_barrier, self._kv_unavailable, now_us
        )
        self.shard_loop = self._build_shard_loop()
        self.leader_loop = self._build_leader_loop()
        if extension is not None:
            self.job_api.before_cancellation = extension.before_cancellation
            extension.attach(self)

    # -- building --------------------------------------------------------------------------------

    def _build_job_api(self) -> JobApi:
        settings = self.settings
        job_api = JobApi(
            self.kv,
            self.replica,
            settings.teams,
            self.follower.read_barrier,
            self.follower.apply_own_commit,
            wall_us,
            settings.tuning.guarding.retry_after_s,
            settings.transaction_limits,
        )
        job_api.home_shard = settings.home_shard
        job_api.cancellation_delay_us = settings.timeouts.cancellation_delay_us
        return job_api

    def _build_agent_gateway(self, client: Client) -> AgentGateway:
        return AgentGateway(
            client,
            self.replica,
            self.owners,
            self.node,
            self.settings.shard_count,
            self.settings.shard_zones,
            now_us,
            wall_us,
            self.shard_pass_requested.set,
            self.settings.timeouts.redirect_us,
        )

    def _build_health_monitor(self) -> HealthMonitor:
        return HealthMonitor(
            HealthMonitorDependencies(
                settings=self.settings,
                kv=self.kv,
                cloud=self.cloud,
                agents=self.agents,
                peers=self.peers,
                replica=self.replica,
                owners=self.owners,
                follower=self.follower,
                now_us=now_us,
            )
        )

    def _build_lease_manager(self) -> LeaseManager:
        return LeaseManager(
            LeaseManagerDependencies(
                settings=self.settings,
                kv=self.kv,
                replica=self.replica,
                machine_types=self.machine_types,
                owners=self.owners,
                follower=self.follower,
                health=self.health,
                create_owner=self._create_owner,
                create_leadership=self._create_leadership,
                on_acquired=self._request_passes,
            )
        )

    def _build_shard_loop(self) -> ShardLoop:
        return ShardLoop(
            self.settings.tuning.leading,
            self.owners,
            self.kv,
            self.cloud,
            self.replica,
            self.follower,
            self.agents,
            self.shard_pass_requested,
            self.leases.may_act,
            self._on_record_changed,
        )

    def _build_leader_loop(self) -> LeaderLoop:
        return LeaderLoop(
            self.settings.tuning.leading,
            self.leases,
            self.kv,
            self.cloud,
            self.machine_types,
            self.leader_pass_requested,
            self._update_readiness,
            self.extension,
        )

    def _create_owner(self, shard_id: int, fencing_token: int) -> ShardOwner:
        return ShardOwner(
            shard_id,
            fencing_token,
            self.replica,
            self.machine_types,
            owner_config(self.settings),
            now_us(),
            wall_us(),
        )

    def _create_leadership(self, fencing_token: int) -> Leadership:
        return Leadership(
            self.settings,
            self.replica,
            self.machine_types,
            self.kv,
            self.cloud,
            fencing_token,
            now_us,
            wall_us,
            self.follower.apply_own_commit,
            self.follower.read_barrier,
        )

    def _kv_unavailable(self) -> bool:
        return self.kv.unavailable_since_us is not None

    # -- serving ---------------------------------------------------------------------------------

    def handle(self, request: HTTPServerRequest) -> Answer | Awaitable[Answer]:
        """Answer a request on the public address."""
        if request.path == wire.HEARTBEAT_PATH:
            return self.agents.handle_heartbeat(request)
        if request.path == wire.READY_PATH:
            return self._answer_readiness(request)
        return self._answer_user(request)

    def _answer_readiness(self, request: HTTPServerRequest) -> Answer:
        if request.method != "GET":
            return 405, wire.encode_error("method not allowed"), {"Allow": "GET"}
        ready = self._can_answer_users() and self.health.reachability.can_serve_users(now_us())
        return (200 if ready else 503), msgspec.json.encode({"ready": ready}), {}

    async def _answer_user(self, request: HTTPServerRequest) -> Answer:
        answer = await self.job_api.handle(request)
        if answer is None and self.extension is not None:
            answer = self.extension.handle(request)
        return answer if answer is not None else (404, wire.encode_error("no such path"), {})

    async def run(self) -> None:
        """Serve and run all loops until the process is killed."""
        settings = self.settings
        self._server(self.handle).listen(*address(settings.platform.bind))
        if settings.platform.mesh_addr:
            self._server(self.peers.handle).listen(*address(settings.platform.mesh_addr))
        log.info(
            "controller started",
            node=self.node,
            address=settings.platform.bind,
            shard=settings.home_shard,
            shards=settings.shard_count,
        )
        loops: list[Callable[[], Awaitable[None]]] = [
            self.follower.follow,
            self.leases.keep_lease,
            self.leases.claim,
            self.leases.check_health,
            self.leases.detect_process_pause,
            self.shard_loop.run_pass,
            self.leader_loop.plan_routes,
            self.leader_loop.refresh_machine_types,
            self.leader_loop.scale_fleet,
        ]
        if self.extension is not None:
            loops += self.extension.loops()
        await asyncio.gather(*(self._repeat(loop) for loop in loops))

    async def _repeat(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop's round repeatedly. An exception is logged and does not end the process."""
        while True:
            try:
                await loop()
            except Exception:
                log.exception("loop failed", loop=loop.__name__)
                await asyncio.sleep(FAILED_LOOP_PAUSE_S)

    def _update_readiness(self) -> None:
        self.job_api.machine_types = self.machine_types
        self.job_api.ready = self._can_answer_users()

    def _can_answer_users(self) -> bool:
        """Tell whether this node can answer users.

        The replica and the machine types must be loaded. If finished jobs have been moved to the history,
        this node must be able to read it.
        """
        if self.replica.has_unread_history and not self._missing_history_logged:
            log.error("finished jobs are in the history, start this node with the option", option="--history")
            self._missing_history_logged = True
        return self.follower.loaded and bool(self.machine_types) and not self.replica.has_unread_history

    # -- changed records -------------------------------------------------------------------------

    def _on_holders_changed(self) -> None:
        self._update_readiness()
        self.leases.drop_lost_claims()

    def _request_passes(self) -> None:
        self.shard_pass_requested.set()
        self.leader_pass_requested.set()

    def _on_record_changed(self, key: str, existed: bool = False) -> None:
        """Request the passes that a changed key calls for.

        Args:
            key: The key of a record.
            existed: Whether the record existed before, so that only its value changed.
        """
        kind, _, rest = key.partition("/")
        job_id = _job_id_of(kind, rest)
        if job_id:
            for owner in self.owners.values():
                owner.on_job_changed(job_id, now_us(), wall_us(), by_owner=kind == PLACEMENT_KIND)
        elif kind == DRAIN_KIND or (kind == MACHINE_KIND and not existed):
            machine = rest.rpartition("/")[2]
            for owner in self.owners.values():
                owner.pass_due |= machine in owner.machines
        if kind == DRAIN_KIND or any(owner.pass_due for owner in self.owners.values()):
            self.shard_pass_requested.set()
        if self.leases.leadership is not None:
            self.leader_pass_requested.set()


def _job_id_of(kind: str, rest: str) -> str:
    """Return the id of the job that a key belongs to; empty if it belongs to none."""
    if kind == JOB_KIND:
        return rest
    if kind in (ROUTE_KIND, PLACEMENT_KIND):
        return rest.split("/")[1]
    return ""


def _open_client(settings: Settings) -> Client:
    """Create the HTTP client; it keeps connections to the state service and the cloud open."""
    endpoints = settings.platform.endpoints
    connections = max(MIN_CONNECTIONS, settings.params.resources.fd_limit // DESCRIPTORS_PER_CONNECTION)
    return Client(connections, (endpoints.state, endpoints.cloud))


def _open_kv(settings: Settings, client: Client) -> KeyValueStore:
    """Create the client of the state service, limited to this node's share of its rates."""
    limits, share = settings.params.state, settings.shard_count
    return KeyValueStore(
        client,
        settings.platform.endpoints.state,
        RateLimiter(limits.rps / share * KV_REQUEST_RATE_FACTOR, limits.rps / share, now_us),
        RateLimiter(
            limits.write_rps / share * KV_WRITE_RATE_FACTOR, max(limits.write_rps / share, 1.0), now_us
        ),
        now_us,
    )


def _open_cloud(settings: Settings, client: Client) -> CloudClient:
    rate = settings.params.cloud.rps
    limiter = RateLimiter(rate * CLOUD_RATE_SHARE, max(rate, 1.0), now_us)
    return CloudClient(client, settings.platform.endpoints.cloud, limiter)
