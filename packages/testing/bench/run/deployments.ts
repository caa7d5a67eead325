import type { DeploymentPlan, EndpointPlan } from '../../src';

/** A deployment of the benchmark with its load. */
export interface BenchDeployment {
  readonly plan: DeploymentPlan;
  readonly workspaces: readonly { readonly name: string; readonly weight: number }[];
  readonly classes: Readonly<Record<string, Record<string, unknown>>>;
  /** Class of the highest tier, whose attainment is an aim. */
  readonly topClass: string;
  /** Requests a second that fill all slots. */
  readonly capacity: number;
}

const SLOTS = 4;

/** Tokens a second of a stream, slow enough that one machine carries the whole deployment. */
const DECODE_RATE = 40;

/** Mean of a log-normal length over its median, at the standard deviation of the load. */
const MEAN_OVER_MEDIAN = Math.exp(0.5 ** 2 / 2);

const PRICE_PER_HOUR = 1;

/** Answers are short, so that a burst of 10 s lasts for many of them; targets are to match. */
function listPlans(names: readonly [string, string, string], model: string, service: string) {
  const [top, middle, low] = names;
  return `
[classes.${top}]
first_token_ms = 800
between_tokens_ms = 58
max_wait_ms = 4000
minimum_share = 0.1
value = 1
[classes.${middle}]
first_token_ms = 2500
between_tokens_ms = 100
max_wait_ms = 6000
minimum_share = 0.05
value = 0.3
[classes.${low}]
first_token_ms = 6000
between_tokens_ms = 200
max_wait_ms = 10_000
minimum_share = 0.02
value = 0.1
[plans.small]
share = 1
classes = { ${top} = 1, ${middle} = 2, ${low} = 3 }
default_class = "${top}"
models = ["${model}"]
services = ["${service}"]
[plans.large]
share = 3
classes = { ${top} = 1, ${middle} = 2, ${low} = 3 }
default_class = "${top}"
models = ["${model}"]
services = ["${service}"]
[[routes]]
path = "/orders"
service = "${service}"
methods = ["POST"]
idempotent = false
`;
}

function createClasses(names: readonly [string, string, string], model: string) {
  const [top, middle, low] = names;
  const prompt = { model, promptTokens: 120, prefixTokens: 64, prefixes: 2 };
  return {
    [top]: { ...prompt, weight: 4, answerTokens: 20 },
    [middle]: { ...prompt, weight: 3, answerTokens: 40 },
    [low]: { ...prompt, weight: 2, answerTokens: 60 },
  };
}

function createDeployment(options: {
  names: readonly [string, string, string];
  model: string;
  service: string;
  dataCentres: readonly [string, string, string];
  engines: number;
  workspaces: readonly string[];
  large: number;
}): BenchDeployment {
  const { names, model, service, dataCentres, engines, large } = options;
  const zoneOf = (index: number): string => dataCentres[index % dataCentres.length] ?? '';
  const endpoints: EndpointPlan[] = [
    ...Array.from({ length: engines }, (_, index) => ({
      name: `engine-${index + 1}`,
      kind: 'engine' as const,
      dataCentre: zoneOf(index),
      models: [model],
      slots: SLOTS,
      decodeRate: DECODE_RATE,
    })),
    ...Array.from({ length: 3 }, (_, index) => ({
      name: `${service}-${index + 1}`,
      kind: 'service' as const,
      dataCentre: zoneOf(index),
      service,
    })),
  ];
  const workspaces = options.workspaces.map((name, index) => ({
    name,
    weight: index < large ? 4 : 1,
  }));
  const customers = workspaces.map(
    ({ name }, index) => `[customers.${name}]\nplan = "${index < large ? 'large' : 'small'}"\n`,
  );
  const classes = createClasses(names, model);
  const loads = Object.values(classes);
  const weight = loads.reduce((sum, load) => sum + load.weight, 0);
  const median = loads.reduce((sum, load) => sum + load.weight * load.answerTokens, 0) / weight;
  const serviceS = (median * MEAN_OVER_MEDIAN) / DECODE_RATE;
  const plan: DeploymentPlan = {
    entries: 3,
    controls: 3,
    dataCentres,
    endpoints,
    plans: listPlans(names, model, service),
    customers: customers.join(''),
    logLevel: 'warn',
  };
  const capacity = (engines * SLOTS) / serviceS;
  return { plan, workspaces, classes, topClass: names[0], capacity };
}

/** Price of the load's endpoints an hour. */
export const ENDPOINT_PRICE = PRICE_PER_HOUR;

/** The users' deployments at their sizes. */
export const deployments = {
  'chimney-lane': createDeployment({
    names: ['chat', 'report', 'letter'],
    model: 'crew-8b',
    service: 'dispatch',
    dataCentres: ['lalitpur', 'kathmandu', 'bhaktapur'],
    engines: 8,
    workspaces: [
      'patan-grease',
      'thapathali-traps',
      'boudha-kitchens',
      'jawalakhel-pumps',
      'kupondole-drains',
      'baneshwor-vacuum',
      'lagankhel-tanks',
      'kalanki-cleaners',
      'budhanilkantha-traps',
      'thimi-grease',
    ],
    large: 3,
  }),
  'o-fearghail': createDeployment({
    names: ['guidance', 'fault-history', 'inspection'],
    model: 'points-8b',
    service: 'depot',
    dataCentres: ['naas', 'portlaoise', 'drogheda'],
    engines: 6,
    workspaces: [
      'heuston-signals',
      'connolly-signals',
      'kildare-crew',
      'portarlington-crew',
      'drogheda-crew',
      'dundalk-crew',
      'athlone-crew',
      'mallow-crew',
      'limerick-junction-crew',
      'naas-yard',
    ],
    large: 2,
  }),
} as const;

export type DeploymentName = keyof typeof deployments;
