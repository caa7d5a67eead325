/** Operator lists of the benchmarks with one class and one workspace. */
export const PLANS = `
[classes.chat]
first_token_ms = 1400
[plans.standard]
classes = { chat = 1 }
default_class = "chat"
models = ["crew-8b"]
`;

export const CUSTOMERS = '[customers.thapathali-traps]\nplan = "standard"\n';
