"""What lives for a connection: to callers, to upstreams, between peers."""

from berylspool.common.frame import *
