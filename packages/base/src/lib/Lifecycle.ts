import { getNextSnapshot, type AnyStateMachine } from 'xstate';
import { assert } from './assert';

/** One state of a lifecycle with its transitions and metadata. @public */
export interface LifecycleState<Note> {
  readonly name: string;
  /** The `meta` of the xstate state. */
  readonly note: Note;
  /** Next state by event. */
  readonly next: ReadonlyMap<string, string>;
  readonly isFinal: boolean;
}

/**
 * Transition table of an xstate machine without nested states, shared by many short-lived
 * lifecycles.
 * @public
 */
export class LifecycleTable<Note> {
  readonly initial: string;

  readonly #states = new Map<string, LifecycleState<Note>>();

  /**
   * @throws InvariantError if the machine has nested states.
   */
  constructor(machine: AnyStateMachine) {
    this.initial = String(machine.config.initial);
    for (const [name, node] of Object.entries(machine.states)) {
      assert(Object.keys(node.states).length === 0, `state ${name} has nested states`);
      const snapshot = machine.resolveState({ value: name, context: {} });
      const isFinal = node.type === 'final';
      const events = isFinal ? [] : node.ownEvents;
      const next = events.map((type): [string, string] => [
        type,
        String(getNextSnapshot(machine, snapshot, { type }).value),
      ]);
      this.#states.set(name, { name, note: node.meta as Note, next: new Map(next), isFinal });
    }
  }

  get states(): LifecycleState<Note>[] {
    return [...this.#states.values()];
  }

  find(name: string): LifecycleState<Note> {
    const found = this.#states.get(name);
    assert(found, `unknown state ${name}`);
    return found;
  }
}

/**
 * One run of a lifecycle. It stores only its current state, so that thousands of them are cheap.
 * @public
 */
export class Lifecycle<Event extends string, Note> {
  readonly #table: LifecycleTable<Note>;

  #state: LifecycleState<Note>;

  constructor(table: LifecycleTable<Note>) {
    this.#table = table;
    this.#state = table.find(table.initial);
  }

  get state(): string {
    return this.#state.name;
  }

  get note(): Note {
    return this.#state.note;
  }

  get isFinal(): boolean {
    return this.#state.isFinal;
  }

  can(event: Event): boolean {
    return this.#state.next.has(event);
  }

  /** Moves to the next state. Returns false if the current state does not accept the event. */
  send(event: Event): boolean {
    const next = this.#state.next.get(event);
    if (next === undefined) return false;
    this.#state = this.#table.find(next);
    return true;
  }
}
