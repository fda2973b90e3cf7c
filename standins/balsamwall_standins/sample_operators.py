"""Operators' files of the two tenants of the sample."""

from __future__ import annotations

import hashlib

CALLER_KEYS = {
    "kovacevic": "sk-local-kovacevic",
    "tampere": "sk-local-tampere",
}
ADMINISTRATION_KEY = "admin-local"

_KOVACEVIC = """
[tenant]
name = kovacevic

[fleet]
model_vms = 3
availability_zones = 3
spare_vms = 1
vm_memory = 24 GiB
kv_reserve = 0.3

[weight_store]
loads_per_second = 3
max_concurrent = 6

[model clauses-{1..4}]
version = 2026-11
weights = 2 GiB
kv_per_token = 64 KiB
context = 8192

[model terms-{1..2}]
version = 2026-10
weights = 3 GiB
kv_per_token = 64 KiB
context = 8192

[adapter buyer-{01..12}]
base = clauses-1 clauses-2 clauses-3 clauses-4
version = 1
weights = 64 MiB

[service settlement]
repeatable = no
repeatable_paths = /status
timeout = 5 s

[template desk]
models = clauses-* terms-*
adapters = buyer-*
services = settlement
default_class = urgent
urgent_deadline = 30 s
deferrable_deadline = 8 h
first_token = 20 s
requests_per_second = 200
burst = 400
max_concurrent = 400
max_output_tokens = 512
move_weight = 3
attainment_weight = 1
resend_window = 10 min
opaque_keys = allow

[workspace desk]
template = desk
api_key_hashes = {hash}
"""

_TAMPERE = """
[tenant]
name = tampere

[fleet]
model_vms = 2
availability_zones = 2
spare_vms = 0
vm_memory = 24 GiB
kv_reserve = 0.3

[weight_store]
loads_per_second = 2
max_concurrent = 8

[model quote-{1..3}]
version = 2026-11
weights = 3 GiB
kv_per_token = 64 KiB
context = 8192

[model letter-fi]
version = 2026-10
weights = 2 GiB
kv_per_token = 64 KiB
context = 8192

[adapter hall-{01..08}]
base = quote-1 quote-2
version = 1
weights = 64 MiB

[service holds]
repeatable = no
repeatable_paths = /calendar
timeout = 5 s

[template drafting]
models = quote-* letter-*
adapters = hall-*
services = holds
default_class = urgent
urgent_deadline = 30 s
deferrable_deadline = 6 h
first_token = 20 s
requests_per_second = 200
burst = 400
max_concurrent = 400
max_output_tokens = 512
move_weight = 1
attainment_weight = 3
resend_window = 10 min
opaque_keys = allow

[workspace drafting]
template = drafting
api_key_hashes = {hash}
"""


def operators_files() -> dict[str, str]:
    """Return the operators' file of each tenant, by tenant name."""
    files = {"kovacevic": _KOVACEVIC, "tampere": _TAMPERE}
    return {
        tenant: text.replace("{hash}", sha256(CALLER_KEYS[tenant]))
        for tenant, text in files.items()
    }


def sha256(key: str) -> str:
    """Return the hex digest of a key, as the configuration stores it."""
    return hashlib.sha256(key.encode()).hexdigest()
