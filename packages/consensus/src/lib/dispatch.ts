import { unreachable } from '@berylwood/base';
import type { Core } from './Core';
import type { Elector } from './Elector';
import type { Follower } from './Follower';
import type { Joiner } from './Joiner';
import type { Leader } from './Leader';
import type { MembershipChanger } from './MembershipChanger';
import type { Join, JoinReply, Message, MessageBody } from './Message';

/** Components of a replica that handle messages. @internal */
export interface Handlers {
  readonly core: Core;
  readonly elector: Elector;
  readonly follower: Follower;
  readonly joiner: Joiner;
  /** The leader of the current term on this replica; a getter, as a message may change the term. */
  readonly leader: () => Leader | undefined;
  readonly changer: () => MembershipChanger | undefined;
}

function withBody<Body extends MessageBody>(message: Message, body: Body): Message<Body> {
  return { ...message, body };
}

/** Whether a message is for this incarnation and group; adopts the group if there is none yet. */
function isAddressed(core: Core, { to, group }: Message): boolean {
  if (to.incarnation !== core.identity.incarnation || group === '') return false;
  if (core.group === '') core.saveGroup(group);
  return group === core.group;
}

function handleJoin(message: Message<Join>, { joiner, changer }: Handlers): void {
  joiner.onJoin(message);
  changer()?.onJoin(message);
}

function handleTimeoutNow({ from, term }: Message, { core, elector }: Handlers): void {
  const isFromLeader = core.leader?.incarnation === from.incarnation;
  if (term === core.term && isFromLeader && core.isVoter && !core.installing) {
    elector.startTransferElection();
  }
}

/** Handles messages from a leader and replies; a newer term in them is adopted first. */
function handleInTerm(message: Message, handlers: Handlers): void {
  const { core, elector, follower, leader } = handlers;
  const { body } = message;
  if (message.term > core.term) {
    core.saveTerm(message.term, '');
    core.sendRoleEvent({ type: 'newerTerm' });
  }
  switch (body.type) {
    case 'append':
      return follower.onAppend(withBody(message, body));
    case 'snapshotChunk':
      return follower.onSnapshotChunk(withBody(message, body));
    case 'preVoteReply':
      return elector.onPreVoteReply(withBody(message, body));
    default:
  }
  if (message.term < core.term) return undefined;
  switch (body.type) {
    case 'voteReply':
      return elector.onVoteReply(withBody(message, body));
    case 'appendReply':
      return leader()?.onAppendReply(withBody(message, body));
    case 'snapshotReply':
      return leader()?.onSnapshotReply(withBody(message, body));
    case 'timeoutNow':
      return handleTimeoutNow(message, handlers);
    default:
      return undefined;
  }
}

/** Routes a message to the component that handles it. @internal */
export function dispatch(message: Message, handlers: Handlers): void {
  const { core, elector, joiner } = handlers;
  const { body, to } = message;
  if (core.role === 'stopped' || to.replica !== core.identity.replica) return undefined;
  switch (body.type) {
    case 'join':
      return handleJoin(withBody<Join>(message, body), handlers);
    case 'joinReply':
      return joiner.onJoinReply(withBody<JoinReply>(message, body));
    default:
  }
  if (!isAddressed(core, message)) return undefined;
  switch (body.type) {
    case 'preVote':
      return elector.onPreVote(withBody(message, body));
    case 'vote':
      return elector.onVote(withBody(message, body));
    case 'append':
    case 'appendReply':
    case 'preVoteReply':
    case 'voteReply':
    case 'snapshotChunk':
    case 'snapshotReply':
    case 'timeoutNow':
      return handleInTerm(message, handlers);
    default:
      return unreachable(body);
  }
}
