import { fail, type Failure, type Journal, type Timer } from '@berylwood/base';
import type { LinkServer } from '@berylwood/link';
import {
  nodeCallSchema,
  nodeMessageSchema,
  type ControlMessage,
  type NodeCall,
  type NodeMessage,
} from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { AcceptedOutcome, Proposer } from './Proposer';
import { controlCodes } from './codes';
import { controlEvents } from './events';
import type { Leadership } from './Leadership';
import type { MemberTable } from './MemberTable';
import type { Hello, NodeLink, Publisher } from './Publisher';

/** Options of the node server. @public */
export interface NodeServerOptions {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly leadership: Pick<Leadership, 'isLeading'>;
  readonly proposer: Proposer;
  readonly publisher: Publisher;
  readonly members: MemberTable;
}

/** Schema of all messages and calls from a node. @internal */
export const nodeSchema = z.union([nodeMessageSchema, nodeCallSchema]);

/** Path and keep-alive of links to nodes; a node drops a connection that is silent for 1.2 s. */
export const NODE_PATH = '/node';
export const NODE_KEEP_ALIVE_MS = 400;

/** Delay before a node is redirected, so that nodes do not reconnect in a tight loop without a leader. */
const REDIRECT_DELAY_MS = 100;

/** Serves entries, sidecars and observers on the leader; redirects them on other replicas. @public */
export class NodeServer {
  readonly #options: NodeServerOptions;

  #isOpen = false;

  /** Nodes that sent their hello message while this replica did not lead. */
  readonly #pendingHellos = new Map<NodeLink, Hello>();

  /** Members last relayed by each observer. */
  readonly #relayed = new Map<NodeLink, Set<string>>();

  constructor(options: NodeServerOptions) {
    this.#options = options;
  }

  /** Accepts links from nodes on the server's port; call it before the server listens. */
  serve(server: LinkServer): void {
    const { timer, journal } = this.#options;
    server.accept<ControlMessage, NodeMessage | NodeCall>(
      NODE_PATH,
      { timer, journal, schema: nodeSchema, keepAliveMs: NODE_KEEP_ALIVE_MS },
      (link) => this.#handleConnection(link),
    );
  }

  /** Starts to accept nodes, including those that wait, when this replica begins to lead. */
  open(): void {
    this.#isOpen = true;
    for (const [link, hello] of this.#pendingHellos) this.#join(link, hello);
    this.#pendingHellos.clear();
  }

  /** Redirects new nodes from now on. */
  close(): void {
    this.#isOpen = false;
  }

  #handleConnection(link: NodeLink): void {
    link.onMessage = (message) => this.#receive(link, message);
    link.onCall = (call) => this.#call(call);
    link.onClose = () => this.#leave(link);
  }

  #receive(link: NodeLink, message: NodeMessage | NodeCall): void {
    const { publisher, members } = this.#options;
    switch (message.type) {
      case 'hello':
        this.#handleHello(link, message);
        break;
      case 'renew': {
        const subscriber = publisher.find(link);
        const { member } = subscriber?.hello ?? {};
        const { process = '' } = subscriber?.hello ?? {};
        if (member && message.state) members.announce({ ...member, state: message.state }, process);
        publisher.renew(link, message);
        break;
      }
      case 'relayed':
        this.#applyRelayed(link, message.members);
        break;
      default:
      // Calls arrive through `onCall`.
    }
  }

  #handleHello(link: NodeLink, hello: Hello): void {
    const { timer } = this.#options;
    if (this.#isOpen) {
      this.#join(link, hello);
      return;
    }
    this.#pendingHellos.set(link, hello);
    timer.after(REDIRECT_DELAY_MS, () => {
      if (this.#pendingHellos.delete(link)) link.send({ type: 'redirect' });
    });
  }

  #join(link: NodeLink, hello: Hello): void {
    const { publisher, members, journal } = this.#options;
    publisher.join(link, hello);
    if (hello.member) members.announce(hello.member, hello.process);
    journal.record(controlEvents.nodeJoined, { process: hello.process, applied: hello.applied });
  }

  #applyRelayed(
    link: NodeLink,
    relayed: Extract<NodeMessage, { type: 'relayed' }>['members'],
  ): void {
    const { publisher, members } = this.#options;
    const { process } = publisher.find(link)?.hello ?? {};
    if (!process) return;
    const current = new Set<string>(relayed.map(({ endpoint }) => endpoint));
    for (const { endpoint } of members.members) {
      const isGone = this.#relayed.get(link)?.has(endpoint) && !current.has(endpoint);
      if (isGone) members.withdraw(endpoint, process);
    }
    for (const member of relayed) members.announce(member, process);
    this.#relayed.set(link, current);
  }

  #leave(link: NodeLink): void {
    const { publisher, members, journal } = this.#options;
    this.#pendingHellos.delete(link);
    const gone = publisher.leave(link);
    const relayed = this.#relayed.get(link);
    this.#relayed.delete(link);
    if (!gone) return;
    const { process, member } = gone.hello;
    if (member) members.withdraw(member.endpoint, process);
    for (const { endpoint } of members.members) {
      if (relayed?.has(endpoint)) members.withdraw(endpoint, process);
    }
    journal.record(controlEvents.nodeLeft, { process });
  }

  async #call(call: NodeMessage | NodeCall): Promise<Result<unknown, Failure>> {
    const { leadership, proposer, journal, timer } = this.#options;
    if (call.type === 'hello' || call.type === 'renew' || call.type === 'relayed') {
      return fail(controlCodes.callUnknown, `no such call: ${call.type}`);
    }
    if (!leadership.isLeading) return fail(controlCodes.notLeader, 'this replica does not lead');
    const at = timer.wall();
    const command =
      call.type === 'orderAnswer' ? { ...call, type: 'answerOrder' as const, at } : { ...call, at };
    const accepted = await proposer.propose(command);
    if (accepted.isOk() && accepted.value.type === 'metered' && accepted.value.dropped > 0) {
      journal.record(controlEvents.usageDropped, { dropped: accepted.value.dropped });
    }
    return accepted.andThen((outcome) => ok(toReply(outcome)));
  }
}

/** Converts the outcome of a node's command to the reply to the node. */
function toReply(outcome: AcceptedOutcome): unknown {
  if (outcome.type === 'metered') return outcome.mark;
  if (outcome.type === 'claimed') return outcome.answer;
  return true;
}
