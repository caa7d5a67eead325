import { RECOVERY_MS, ReplacedGroup, type ReplacedGroupOptions } from './ReplacedGroup';

const MAX_DOWN_MS = 2000;
const MAX_PAUSE_MS = 6000;
const STEPS = 5;

/** Runs one schedule; losses occur at any moment at which the tolerance allows another one. */
async function runSchedule(group: ReplacedGroup): Promise<void> {
  const { cluster } = group;
  await group.form();
  const steps: Promise<void>[] = [];
  for (let step = 0; step < STEPS; step += 1) {
    await cluster.run(cluster.random.between(0, MAX_PAUSE_MS));
    await awaitRoom(group);
    steps.push(loseOne(group));
    await cluster.run(0);
  }
  let isOver = false;
  Promise.all(steps).then(() => {
    isOver = true;
  }, group.fail);
  await cluster.runUntil(() => isOver, STEPS * RECOVERY_MS);
  await group.checkRecovery();
}

/** Waits until the tolerance allows another loss. */
async function awaitRoom(group: ReplacedGroup): Promise<void> {
  const hasRoom = (): boolean => group.lostCount < group.tolerance;
  const isMet = await group.cluster.runUntil(hasRoom, STEPS * RECOVERY_MS);
  if (!isMet) group.fail('the losses do not end');
}

/** One loss: a planned or unplanned replacement of a machine, or a lost disk. */
function loseOne(group: ReplacedGroup): Promise<void> {
  const { random } = group.cluster;
  const node = random.pick(group.running.filter((item) => !group.countsAsLost(item)));
  const kind = random.pick(['planned', 'unplanned', 'disk'] as const);
  group.log(`${kind} loss of ${node.name}`);
  if (kind === 'disk') return group.loseDisk(node, random.between(100, MAX_DOWN_MS));
  if (kind === 'planned') return group.replacePlanned(node);
  return group.replaceLost(node, random.between(0, MAX_DOWN_MS));
}

/** What a schedule came to. */
export interface ReplacementFinding {
  readonly violations: readonly string[];
  /** What was done, one line each; empty if nothing was violated. */
  readonly trace: readonly string[];
}

/** What a run of a group has found. */
export function findingOf({ invariants, trace }: ReplacedGroup): ReplacementFinding {
  const violations = [...invariants.violations];
  return { violations, trace: violations.length > 0 ? trace : [] };
}

/** Runs a random schedule of planned and unplanned replacements and lost disks. */
export async function replaceReplicas(options: ReplacedGroupOptions): Promise<ReplacementFinding> {
  const group = new ReplacedGroup(options);
  await runSchedule(group);
  return findingOf(group);
}
