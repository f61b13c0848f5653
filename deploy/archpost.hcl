# The operators' own settings. The build turns them into target/operator.json.

# A held plan that isn't complete after this long is released.
plan_wait_s = 10

# Hold spare machines of every kind, whatever they cost.
hold = false

# Unless capacity is held, an idle machine is given back after this long.
idle_s = 40

# silent_s     = 7     # a machine that answers nobody for this long is given back
# max_machines = 100   # most machines held at once
