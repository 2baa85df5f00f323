"""Objects that live for a connection: to callers, upstreams and peers."""

from berylspool.common.frame import *
