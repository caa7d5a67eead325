import type { LifecycleTable } from '@berylwood/base';

/**
 * Renders a lifecycle as a mermaid diagram and a table of its states and events.
 * @param columns - what the table says of each state: heading and text from the state's note.
 * @public
 */
export function renderMachine<Note>(
  table: LifecycleTable<Note>,
  columns: Readonly<Record<string, (note: Note) => string>>,
): string {
  const edges = table.states.flatMap(({ name, next }) =>
    [...next].map(([event, target]) => `    ${name} --> ${target}: ${event}`),
  );
  const ends = table.states
    .filter(({ isFinal }) => isFinal)
    .map(({ name }) => `    ${name} --> [*]`);
  const diagram = ['stateDiagram-v2', `    [*] --> ${table.initial}`, ...edges, ...ends];
  const heading = ['State', ...Object.keys(columns), 'Events taken'];
  const rows = table.states.map(({ name, note, next, isFinal }) => [
    name,
    ...Object.values(columns).map((text) => text(note)),
    isFinal
      ? 'none; the end'
      : [...next].map(([event, target]) => `${event} → ${target}`).join(', '),
  ]);
  const lines = [heading, heading.map(() => '---'), ...rows].map((row) => `| ${row.join(' | ')} |`);
  return `\`\`\`mermaid\n${diagram.join('\n')}\n\`\`\`\n\n${lines.join('\n')}`;
}
