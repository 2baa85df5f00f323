"""A query tier over very many shards.

Every answer comes from one snapshot and states its coverage; a refusal that
says `not_run` is true; a request that may not be repeated runs at most once.
"""

from berylspool.exception import *
from berylspool.request import *
from berylspool.version import *
