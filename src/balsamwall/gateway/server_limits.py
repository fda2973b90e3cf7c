"""Request rate limits that backend servers announce."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import gateway_metrics
    from balsamwall.gateway import incoming_request
    from balsamwall.logs import decision_log


class ServerLimits:
    """Keep the limits of the servers as their responses announce them."""

    __slots__ = ("_announced", "_log", "_metrics")

    def __init__(
        self,
        log: decision_log.DecisionLog,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._announced: dict[str, float] = {}

    def on_response(
        self,
        server: backend_directory.BackendServer,
        head: incoming_request.ResponseHead,
    ) -> None:
        """Record the limit in a response, and log it when it changes."""
        server_id = server.server_id
        known = self._announced.get(server_id)
        if head.limit_per_s == known:
            return
        if head.limit_per_s is None:
            del self._announced[server_id]
        else:
            self._announced[server_id] = head.limit_per_s
        self._metrics.set_server_limit(server_id, head.limit_per_s)
        self._log.write(
            "server_limit",
            server=server_id,
            per_s=head.limit_per_s,
            before_per_s=known,
        )
