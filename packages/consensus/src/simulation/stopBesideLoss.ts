import { required } from '@berylwood/base';
import {
  CATCH_UP_MS,
  RECOVERY_MS,
  ReplacedGroup,
  type ReplacedGroupOptions,
} from './ReplacedGroup';
import { findingOf, type ReplacementFinding } from './replaceReplicas';
import type { SimulatedNode } from './SimulatedCluster';

/** Time after which the phases of the timers of a formed group differ by its seed, in milliseconds. */
const SETTLE_MS = 1000;

/** Time from the last losses to the start of the successors, in milliseconds. */
const LAST_DELAY_MS = 200;

/** Time for which a frozen machine stands still beyond the delay of a successor, in milliseconds. */
const FREEZE_MS = 1500;

/** What happens to a machine: it is gone for good, returns with an empty disk, or stands still for a time. */
export type LossKind = 'machine' | 'disk' | 'freeze';

/** A planned stop, a loss close to it, and the next loss at the first moment that the tolerance allows. */
export interface StopBesideLoss extends ReplacedGroupOptions {
  readonly stopped: 'leader' | 'follower';
  /** Machine that is lost; the heir is the first follower that leadership may be handed over to. */
  readonly lost: 'leader' | 'heir' | 'follower';
  /** Time from the loss to the stop, in milliseconds; negative if the stop comes first. */
  readonly offsetMs: number;
  /** Time from the loss to the start of the successor, or to the return of the machine, in milliseconds. */
  readonly delayMs: number;
  readonly kind: LossKind;
}

interface Machines {
  readonly stopped: SimulatedNode;
  readonly lost: readonly SimulatedNode[];
  /** The founding machines that are neither stopped nor lost. */
  readonly rest: readonly SimulatedNode[];
}

/** Chooses the machines; beside the given one, as many followers are lost as the tolerance allows. */
function chooseMachines(group: ReplacedGroup, { stopped: role, lost }: StopBesideLoss): Machines {
  const { cluster } = group;
  const leader = required(cluster.leader, 'leader of a formed group');
  const followers = group.running.filter((node) => node !== leader);
  const stopped = role === 'leader' ? leader : required(followers.at(-1), 'a follower');
  const others = followers.filter((node) => node !== stopped);
  const byRole = { leader, heir: others[0], follower: others.at(-1) };
  const first = required(byRole[lost], 'a machine to lose');
  const more = others.filter((node) => node !== first).slice(0, group.tolerance - 1);
  const allLost = [first, ...more];
  const rest = group.running.filter((node) => node !== stopped && !allLost.includes(node));
  return { stopped, lost: allLost, rest };
}

function lose(
  group: ReplacedGroup,
  node: SimulatedNode,
  { kind, delayMs }: StopBesideLoss,
): Promise<void> {
  group.log(`${kind} loss of ${node.name}`);
  if (kind === 'disk') return group.loseDisk(node, delayMs);
  if (kind === 'freeze') return group.freeze(node, delayMs + FREEZE_MS);
  return group.replaceLost(node, delayMs);
}

/** Runs one point of the sweep. */
export async function stopBesideLoss(point: StopBesideLoss): Promise<ReplacementFinding> {
  const group = new ReplacedGroup(point);
  const { cluster } = group;
  await group.form();
  await cluster.run(SETTLE_MS);
  const { stopped, lost, rest } = chooseMachines(group, point);
  group.log(`the leader is ${cluster.leader?.name}`);
  group.addMachine();
  await cluster.run(CATCH_UP_MS);
  const { base } = cluster;
  const stop = async (): Promise<void> => {
    await base.sleep(Math.max(0, point.offsetMs));
    await group.stop(stopped);
  };
  const loseAll = async (): Promise<void> => {
    await base.sleep(Math.max(0, -point.offsetMs));
    await Promise.all(lost.map((node) => lose(group, node, point)));
    await base.sleep(CATCH_UP_MS);
    const losses = rest.slice(0, group.tolerance).map((node) => {
      group.log(`next loss, of ${node.name}`);
      return group.replaceLost(node, LAST_DELAY_MS);
    });
    await Promise.all(losses);
  };
  let isOver = false;
  Promise.all([stop(), loseAll()]).then(() => {
    isOver = true;
  }, group.fail);
  await cluster.runUntil(() => isOver, Math.abs(point.offsetMs) + point.delayMs + 2 * RECOVERY_MS);
  await group.checkRecovery();
  return findingOf(group);
}
