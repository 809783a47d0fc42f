"""Frontend for clients and endpoints that use the KServe v2 inference protocol over HTTP."""

from llm_router.frontends.kserve.frontend import KServeFrontend

__all__ = ["KServeFrontend"]
