"""Options of the model engine."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class EngineOptions:
    """Sizes, durations, lags and event gaps of an engine."""

    capacity_bytes: int = 80_000_000_000
    kv_bytes_per_token: int = 100_000
    kv_bytes_by_model: dict[str, int] = dataclasses.field(default_factory=dict)
    max_running: int = 32
    step_base_us: int = 8_000
    step_per_sequence_us: int = 100
    prefill_us_per_token: int = 20
    prefill_tokens_per_step: int = 512
    load_ms: int = 500
    unload_ms: int = 100
    cache_blocks: int = 1_024
    event_lag_ms: int = 300
    event_gap_rate: float = 0.05
    load_lag_ms: int = 200
    orphan_ms: int = 10_000
    stream_retention_ms: int = 60_000
    is_fence_checked: bool = True
    is_over_capacity_refused: bool = False
    seed: int = 0

    def kv_bytes(self, model: str) -> int:
        """Return the KV cache bytes per token of a base model."""
        return self.kv_bytes_by_model.get(model, self.kv_bytes_per_token)
