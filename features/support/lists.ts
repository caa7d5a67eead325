/** Operator lists of the scenarios. */
export const PLANS = `
[classes.chat]
first_token_ms = 1400
[classes.report]
first_token_ms = 10_000
[classes.batch]
first_token_ms = 60_000

[plans.standard]
classes = { chat = 1, report = 2 }
default_class = "chat"
models = ["crew-8b"]
services = ["dispatch"]

[[routes]]
path = "/dispatch"
service = "dispatch"
idempotent = true
`;

export const CUSTOMERS = `
[customers.thapathali-traps]
plan = "standard"
[customers.patan-grease]
plan = "standard"
`;
