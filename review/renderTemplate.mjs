/** Renders a template of the deploy file, by the rules of the deployment's pages. */

function lookUp(scopes, path) {
  const [first, ...rest] = path.split('.');
  const scope = scopes.find((item) => item !== null && typeof item === 'object' && first in item);
  return rest.reduce((value, key) => value?.[key], scope?.[first]);
}

function asText(value, format) {
  if (format === 'json') return JSON.stringify(value);
  if (value === undefined || value === null) return '';
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

const SECTION = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
const PLACEHOLDER = /\{\{([\w.]+)(?:\|(json))?\}\}/g;

export function renderTemplate(template, fields) {
  return template
    .replace(SECTION, (_, kind, path, body) => {
      const isPresent = ![undefined, null, false].includes(lookUp([fields], path));
      return isPresent === (kind === '#') ? renderTemplate(body, fields) : '';
    })
    .replace(PLACEHOLDER, (_, path, format) => asText(lookUp([fields], path), format));
}
