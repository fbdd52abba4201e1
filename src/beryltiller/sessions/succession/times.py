"""The times of a succession: how long claims last, and how long each step waits."""

# How long a claim of the promotion duty is valid, which excludes other claims.
DUTY_SECONDS = 4.0
# The holder stops using a claim this long before it expires, so that its last commands
# and its promotion request have arrived before another proxy holds the duty.
DUTY_MARGIN_SECONDS = 1.2
# No replicas are fenced this long before the claim's deadline, except to confirm: the
# rest of the succession would not fit, and the replicas must be unfenced in time.
FENCING_MARGIN_SECONDS = 0.8
# Each proxy delays its claim by a random time up to this long, so that proxies that
# detect a failure at the same time do not claim the duty simultaneously.
MAX_CLAIM_DELAY_SECONDS = 0.15
# The same for lifting fences, which is less urgent and noticed by more proxies.
MAX_LIFT_DELAY_SECONDS = 1.0
# Delay before replicas are fenced again, or a promotion without a result is repeated.
RETRY_SECONDS = 0.2
# Replicas are unfenced at the earliest this long after the claim: a promotion that an
# earlier holder requested last has taken effect by then.
LIFT_SECONDS = 1.0
# A command acts at most this long after it was sent, if at all: by then a database has
# dropped the connection of a remote end that it does not reach.
COMMAND_LIFE_SECONDS = 3.0
# The last commands under a claim, sent at its deadline, have acted this long after the
# duty was claimed by another proxy, which is at the claim's end at the earliest.
SETTLING_SECONDS = COMMAND_LIFE_SECONDS - DUTY_MARGIN_SECONDS
# A promotion is requested at most this long after the fence commands that confirmed it
# were sent, as a replica that restarts is no longer fenced.
CONFIRMATION_SECONDS = 0.5
# How long a primary may have been silent before the proxy stops using its entry.
MAX_ENTRY_SILENCE_SECONDS = 8.0
# Delay before the next claim after a succession ended, whether it succeeded or not.
COOLDOWN_SECONDS = 1.5
# The same if another proxy knows a database that this one could not ask. That one
# claims the duty meanwhile, even if it was refused right before this claim's end.
KNOWS_LESS_COOLDOWN_SECONDS = 6.0
# How long to wait for an accepted promotion to show in the group.
TAKEOVER_SECONDS = 4.0
