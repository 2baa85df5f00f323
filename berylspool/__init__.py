"""A query tier over a large number of shards.

Every answer comes from one snapshot and states its coverage.  A refusal
marked `not_run` guarantees that no part of the request was executed.  A
non-idempotent request is executed at most once.
"""

from berylspool.exception import *
from berylspool.request import *
from berylspool.version import *
