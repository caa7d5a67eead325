import { readFileSync } from 'node:fs';

const TEMPLATE = 'deploy/gateway.toml.template';

function lookUp(fields, path) {
  return path.split('.').reduce((value, key) => value?.[key], fields);
}

/** Fills in the project's template with the fields of one process, as the platform does. */
export function renderSettings(fields) {
  const sections = /\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g;
  const template = readFileSync(TEMPLATE, 'utf8').replace(sections, (_, path, text) =>
    lookUp(fields, path) ? text : '',
  );
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, isJson) => {
    const value = lookUp(fields, path);
    return isJson ? JSON.stringify(value) : String(value ?? '');
  });
}
