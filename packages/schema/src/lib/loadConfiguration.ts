import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import {
  customerListSchema,
  planListSchema,
  type Configuration,
  type CustomerList,
  type PlanList,
} from './Configuration';
import { locate, type Step } from './locate';
import { nearestName } from './naming';
import { readToml } from './parseToml';
import type { Problem } from './Problem';

interface Reference {
  readonly file: string;
  readonly path: Step[];
  readonly name: string;
  readonly known: readonly string[];
  readonly kind: string;
}

function planReferences(file: string, list: PlanList): Reference[] {
  const known = Object.keys(list.classes);
  return Object.entries(list.plans).flatMap(([plan, { classes, defaultClass }]) => [
    ...Object.keys(classes).map((name) => ({
      file,
      path: ['plans', plan, 'classes', name],
      name,
      known,
      kind: 'class',
    })),
    {
      file,
      path: ['plans', plan, 'default_class'],
      name: defaultClass,
      known: Object.keys(classes),
      kind: 'class of the plan',
    },
  ]);
}

function customerReferences(file: string, list: CustomerList, plans: PlanList): Reference[] {
  const known = Object.keys(plans.plans);
  return Object.entries(list.customers).map(([customer, { plan }]) => ({
    file,
    path: ['customers', customer, 'plan'],
    name: plan,
    known,
    kind: 'plan',
  }));
}

function referenceProblem(reference: Reference): Problem {
  const { file, path, name, known, kind } = reference;
  const nearest = nearestName(name, known);
  const hint = nearest ? `; did you mean "${nearest}"?` : `; known: ${known.join(', ') || 'none'}`;
  const line = locate(readFileSync(file, 'utf8'), path);
  return { file, line, path: path.join('.'), message: `unknown ${kind} "${name}"${hint}` };
}

/** Reads both operator lists and checks the references in and between them. @public */
export function loadConfiguration(
  plansFile: string,
  customersFile: string,
): Result<Configuration, Problem[]> {
  const plans = readToml(planListSchema, plansFile);
  const customers = readToml(customerListSchema, customersFile);
  if (plans.isErr() || customers.isErr()) {
    return err([plans, customers].flatMap((list) => (list.isErr() ? list.error : [])));
  }
  const references = [
    ...planReferences(plansFile, plans.value),
    ...customerReferences(customersFile, customers.value, plans.value),
  ];
  const problems = references.filter(({ name, known }) => !known.includes(name));
  if (problems.length > 0) return err(problems.map(referenceProblem));
  return ok({ ...plans.value, ...customers.value });
}
