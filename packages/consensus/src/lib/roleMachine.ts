import { setup } from 'xstate';

/** Roles of a replica. @public */
export type Role = 'learner' | 'follower' | 'preCandidate' | 'candidate' | 'leader' | 'stopped';

/** Events that may change the role of a replica. @internal */
export type RoleEvent =
  | { readonly type: 'electionTimeout' }
  | { readonly type: 'preVoteWon' }
  | { readonly type: 'voteWon' }
  | { readonly type: 'leaderSeen' }
  | { readonly type: 'newerTerm' }
  | { readonly type: 'quorumLost' }
  | { readonly type: 'transferRequested' }
  /** The replica has become a voter. */
  | { readonly type: 'voteGained' }
  /** The replica is no longer a voter. */
  | { readonly type: 'voteLost' }
  | { readonly type: 'stop' };

/** Actions on entry to and exit from a role. @internal */
export interface RoleEffects {
  readonly skipPreVote: boolean;
  entered(role: Role): void;
  startPreVote(): void;
  startVote(): void;
  startLeading(): void;
  stopLeading(): void;
  /** Releases timers and detaches from the transport. */
  release(): void;
}

const machine = setup({
  types: {
    context: {} as { effects: RoleEffects },
    input: {} as { effects: RoleEffects },
    events: {} as RoleEvent,
  },
  actions: {
    entered: ({ context }, params: { role: Role }) => context.effects.entered(params.role),
    startPreVote: ({ context }) => context.effects.startPreVote(),
    startVote: ({ context }) => context.effects.startVote(),
    startLeading: ({ context }) => context.effects.startLeading(),
    stopLeading: ({ context }) => context.effects.stopLeading(),
    release: ({ context }) => context.effects.release(),
  },
  guards: {
    skipsPreVote: ({ context }) => context.effects.skipPreVote,
  },
});

function entered(role: Role) {
  return { type: 'entered', params: { role } } as const;
}

/**
 * State machine of a replica's role. It handles role changes only; appending and acknowledging
 * entries happens elsewhere.
 * @internal
 */
export const roleMachine = machine.createMachine({
  id: 'role',
  context: ({ input }) => ({ effects: input.effects }),
  initial: 'learner',
  on: { stop: '.stopped' },
  states: {
    learner: {
      entry: [entered('learner')],
      on: { voteGained: 'follower' },
    },
    follower: {
      entry: [entered('follower')],
      on: {
        electionTimeout: [{ guard: 'skipsPreVote', target: 'candidate' }, 'preCandidate'],
        transferRequested: 'candidate',
        voteLost: 'learner',
      },
    },
    preCandidate: {
      entry: [entered('preCandidate'), 'startPreVote'],
      on: {
        preVoteWon: 'candidate',
        electionTimeout: { target: 'preCandidate', reenter: true },
        leaderSeen: 'follower',
        newerTerm: 'follower',
        transferRequested: 'candidate',
        voteLost: 'learner',
      },
    },
    candidate: {
      entry: [entered('candidate'), 'startVote'],
      on: {
        voteWon: 'leader',
        electionTimeout: [
          { guard: 'skipsPreVote', target: 'candidate', reenter: true },
          'preCandidate',
        ],
        leaderSeen: 'follower',
        newerTerm: 'follower',
        voteLost: 'learner',
      },
    },
    leader: {
      entry: [entered('leader'), 'startLeading'],
      exit: ['stopLeading'],
      on: { newerTerm: 'follower', quorumLost: 'follower', voteLost: 'learner' },
    },
    stopped: {
      type: 'final',
      entry: [entered('stopped'), 'release'],
    },
  },
});
