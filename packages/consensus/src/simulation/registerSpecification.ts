import type { Specification } from './checkLinearizable';

/** An action on a register of one number; its output is the value before. */
export interface RegisterAction {
  readonly type: 'read' | 'write' | 'swap';
  readonly value?: number;
  /** Value that a swap asks for; with another one it changes nothing. */
  readonly expected?: number;
}

/** Sequential behaviour of the register. */
export const registerSpecification: Specification<RegisterAction, number> = {
  initial: 0,
  step: (state, { type, value = 0, expected }) => {
    const isWriting = type === 'write' || (type === 'swap' && state === expected);
    return { state: isWriting ? value : state, output: state };
  },
};
