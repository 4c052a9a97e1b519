"""Translation between the operators' platform and the product's own types.

Nothing here decides anything: names of the wire, of the settings file and of the
headers are decoded once, into types of the product.
"""

from __future__ import annotations

__all__: list[str] = []
