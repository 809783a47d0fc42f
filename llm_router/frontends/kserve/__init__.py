"""The KServe v2 inference protocol over REST, for clients that speak it and endpoints that do."""

from llm_router.frontends.kserve.frontend import KServeFrontend

__all__ = ["KServeFrontend"]
