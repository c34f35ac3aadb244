"""Server for the requests of other instances."""

import asyncio

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.const import BYTES_PER_MEGABYTE
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.models import Address
from bitternturn.http.const import ACCEPTED_PER_TURN
from bitternturn.http.response_size import BodyBuffers
from bitternturn.http.server import extend_backlog
from bitternturn.relay import const
from bitternturn.relay.connection import RelayConnection
from bitternturn.relay.copies import StoreCopies
from bitternturn.relay.incoming_batch import IncomingBatch
from bitternturn.relay.incoming_gather import IncomingGather
from bitternturn.relay.observations import ObservationExchange
from bitternturn.relay.quota_messages import handle_quota_frame
from bitternturn.relay.rollout_exchange import RolloutExchange
from bitternturn.relay.start_queue import StartQueue
from bitternturn.relay.traffic import RelayTraffic
from bitternturn.schema.relay_pb2 import Frame, Leaving, Links

# What a peer has requested, by the number of the request.
IncomingWork = IncomingBatch | IncomingGather


class RelayServer:
    """Makes delegated sends and serves the copies of the store."""

    def __init__(
        self,
        *,
        gateway: Gateway,
        copies: StoreCopies,
        tasks: TaskSet,
        traffic: RelayTraffic,
        max_new_connections: int = const.DEFAULT_MAX_NEW_CONNECTIONS,
    ) -> None:
        """Initialise; `async_start` listens.

        `max_new_connections` bounds the connections without a frame so far.
        """
        self.copies = copies
        self.tasks = tasks
        self.traffic = traffic
        self.gateway = gateway
        self.connections: dict[RelayConnection, dict[int, IncomingWork]] = {}
        self.max_new_connections = max_new_connections
        # When connections without a frame so far were accepted, the oldest
        # first, on the clock of the event loop.
        self.silent: dict[RelayConnection, float] = {}
        self.silent_timer: asyncio.TimerHandle | None = None
        self.buffers = BodyBuffers(
            max_bytes=max(
                const.MAX_FRAME_BYTES + const.LENGTH_BYTES,
                int(
                    gateway.settings.memory_mb
                    * BYTES_PER_MEGABYTE
                    * const.FRAME_MEMORY_SHARE
                ),
            ),
        )
        self.starts = StartQueue()
        self.server: asyncio.Server | None = None
        # Applies what peers have observed, None if it is ignored.
        self.observations: ObservationExchange | None = None
        # Applies what peers report of roll-outs, None if it is ignored.
        self.rollouts: RolloutExchange | None = None
        gateway.links.on_change = self.notify_links

    async def async_start(self, address: Address) -> int:
        """Start listening and return the port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._accept,
            address.host,
            address.port,
            backlog=ACCEPTED_PER_TURN,
        )
        extend_backlog(self.server, const.LISTEN_BACKLOG)
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    def _accept(self) -> RelayConnection:
        """Return the protocol for a new connection."""
        connection = RelayConnection(
            on_frame=self.handle_frame,
            on_lost=self.handle_lost,
            traffic=self.traffic,
            buffers=self.buffers,
        )
        self.connections[connection] = {}
        self.silent[connection] = asyncio.get_running_loop().time()
        if len(self.silent) > self.max_new_connections:
            self._close_oldest_silent()
        if self.silent_timer is None:
            self._close_silent()
        return connection

    def _close_silent(self) -> None:
        """Close silent connections above the limit once they are old enough."""
        self.silent_timer = None
        loop = asyncio.get_running_loop()
        while len(self.silent) > const.MAX_SILENT_CONNECTIONS:
            due_at = next(iter(self.silent.values())) + const.SILENT_GRACE_S
            if due_at > loop.time():
                self.silent_timer = loop.call_at(due_at, self._close_silent)
                return
            self._close_oldest_silent()

    def _close_oldest_silent(self) -> None:
        """Close the oldest connection without a frame."""
        oldest = next(iter(self.silent))
        del self.silent[oldest]
        self.gateway.metrics.increment('silent_peers_closed')
        oldest.close()

    def notify_leaving(self) -> None:
        """Notify the other instances not to send new requests."""
        for connection in self.connections:
            connection.send(Frame(leaving=Leaving()))

    def _notify_sender(self, connection: RelayConnection) -> None:
        """Tell a peer that may not know it which domains are cut off."""
        if self.gateway.links.list_cut_off():
            connection.send(self._describe_links())

    def notify_links(self) -> None:
        """Tell the other instances which domains this one is cut off from."""
        for connection in self.connections:
            connection.send(self._describe_links())

    def _describe_links(self) -> Frame:
        """Return what this instance reaches and does for others."""
        cut_off = self.gateway.links.list_cut_off()
        return Frame(links=Links(cut_off=cut_off, gathers=True))

    def close(self) -> None:
        """Close the listener and the connections."""
        if self.server is not None:
            self.server.close()
        if self.silent_timer is not None:
            self.silent_timer.cancel()
            self.silent_timer = None
        for connection in list(self.connections):
            connection.close()

    def handle_frame(self, connection: RelayConnection, frame: Frame) -> None:
        """Handle a message of a peer."""
        batches = self.connections.setdefault(connection, {})
        self.silent.pop(connection, None)
        if frame.HasField('cancel'):
            known = batches.get(frame.number)
            for index in frame.cancel.indexes:
                if known is not None:
                    known.cancel(index)
            return
        work = self._make_work(connection, frame)
        if work is not None:
            batches[frame.number] = work
            work.start()
            self._remove_finished(batches)
        elif frame.HasField('follow'):
            self.tasks.spawn(self._async_follow(connection, frame))
        elif frame.HasField('receipt'):
            self._handle_receipt(connection, batches.get(frame.number))
        else:
            self._handle_news(connection, frame)

    def _handle_receipt(
        self, connection: RelayConnection, known: IncomingWork | None
    ) -> None:
        """Handle the receipt of a receipt, else the first message of a peer."""
        if isinstance(known, IncomingGather):
            known.confirm()
        else:
            connection.send(self._describe_links())

    def _make_work(
        self, connection: RelayConnection, frame: Frame
    ) -> IncomingWork | None:
        """Return what a peer requests of this instance, None for other frames."""
        if frame.HasField('sends'):
            self._notify_sender(connection)
            return IncomingBatch(
                gateway=self.gateway,
                connection=connection,
                number=frame.number,
                request=frame.sends,
                starts=self.starts,
            )
        if frame.HasField('gather'):
            return IncomingGather(
                gateway=self.gateway,
                connection=connection,
                number=frame.number,
                request=frame.gather,
                tasks=self.tasks,
            )
        return None

    def _handle_news(self, connection: RelayConnection, frame: Frame) -> None:
        """Handle what a peer has found out."""
        if frame.HasField('observations') and self.observations is not None:
            self._handle_observations(self.observations, connection, frame)
        elif self.rollouts is not None:
            self._handle_rollouts(self.rollouts, connection, frame)
        quota_reply = handle_quota_frame(self.gateway.quotas, frame)
        if quota_reply is not None:
            connection.send(quota_reply)

    def _handle_observations(
        self,
        exchange: ObservationExchange,
        connection: RelayConnection,
        frame: Frame,
    ) -> None:
        """Apply what a peer has observed, and reply if it wants that."""
        reply = exchange.receive(frame.observations)
        if reply is not None:
            connection.send(Frame(number=frame.number, observations=reply))

    def _handle_rollouts(
        self,
        exchange: RolloutExchange,
        connection: RelayConnection,
        frame: Frame,
    ) -> None:
        """Apply what a peer has counted or believes of roll-outs."""
        if frame.HasField('rollout_reports'):
            reply = exchange.receive_reports(frame.rollout_reports)
            connection.send(Frame(number=frame.number, rollout_beliefs=reply))
        elif frame.HasField('rollout_beliefs'):
            exchange.receive_beliefs(frame.rollout_beliefs)

    async def _async_follow(
        self,
        connection: RelayConnection,
        frame: Frame,
    ) -> None:
        """Reply to a peer that follows the store through this instance."""
        changes = await self.copies.async_wait_for_changes(
            frame.follow.revisions,
            frame.follow.wait_ms / MS_PER_SECOND,
        )
        connection.send(Frame(number=frame.number, changes=changes))

    def handle_lost(self, connection: RelayConnection) -> None:
        """Cancel the sends of a lost connection."""
        self.silent.pop(connection, None)
        for batch in self.connections.pop(connection, {}).values():
            batch.stop()

    def _remove_finished(self, batches: dict[int, IncomingWork]) -> None:
        """Remove the batches that are finished."""
        for number in [key for key, it in batches.items() if it.finished]:
            del batches[number]
